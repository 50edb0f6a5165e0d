//! Token bucket for store writes.

use crate::Tick;
use crate::ids::PerSecond;

/// Token bucket that holds whole writes and refills with time.
#[derive(Clone, Debug)]
pub(crate) struct WriteBudget {
    rate: PerSecond,
    burst: u32,
    /// Tokens in millionths, so that a microsecond refills `rate` of them.
    millionths: u64,
    refilled_at: Tick,
}

/// Millionths in one token.
const TOKEN: u64 = 1_000_000;

impl WriteBudget {
    /// Makes a full bucket.
    pub(crate) fn new(rate: PerSecond, burst: u32) -> Self {
        let burst = burst.max(1);
        Self { rate, burst, millionths: u64::from(burst) * TOKEN, refilled_at: Tick::ZERO }
    }

    /// Takes one token; returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Tick) -> bool {
        self.refill(now);
        if self.millionths < TOKEN {
            return false;
        }
        self.millionths -= TOKEN;
        true
    }

    /// Gives an unused token back.
    pub(crate) fn give_back(&mut self) {
        self.millionths = (self.millionths + TOKEN).min(u64::from(self.burst) * TOKEN);
    }

    /// Changes the rate; tokens already in the bucket stay.
    pub(crate) fn set_rate(&mut self, rate: PerSecond) {
        self.rate = rate;
    }

    fn refill(&mut self, now: Tick) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(u64::from(self.rate.get()));
        let full = u64::from(self.burst) * TOKEN;
        self.millionths = self.millionths.saturating_add(gained).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }
}
