//! Token bucket that limits the rate of store writes.

use crate::Tick;
use crate::ids::PerSecond;

/// Token bucket; each token permits one store write.
#[derive(Clone, Debug)]
pub(crate) struct WriteBudget {
    rate: PerSecond,
    burst: u32,
    /// Tokens in the bucket, in millionths: each microsecond adds `rate` of them.
    millionths: u64,
    refilled_at: Tick,
}

const MILLIONTHS_PER_TOKEN: u64 = 1_000_000;

impl WriteBudget {
    /// Creates a full bucket.
    pub(crate) fn new(rate: PerSecond, burst: u32) -> Self {
        let burst = burst.max(1);
        Self {
            rate,
            burst,
            millionths: u64::from(burst) * MILLIONTHS_PER_TOKEN,
            refilled_at: Tick::ZERO,
        }
    }

    /// Takes one token if there is one; returns whether it did.
    pub(crate) fn try_take(&mut self, now: Tick) -> bool {
        self.refill(now);
        if self.millionths < MILLIONTHS_PER_TOKEN {
            return false;
        }
        self.millionths -= MILLIONTHS_PER_TOKEN;
        true
    }

    /// Returns an unused token to the bucket.
    pub(crate) fn give_back(&mut self) {
        self.millionths = (self.millionths + MILLIONTHS_PER_TOKEN)
            .min(u64::from(self.burst) * MILLIONTHS_PER_TOKEN);
    }

    /// Changes the rate; tokens already in the bucket stay.
    pub(crate) fn set_rate(&mut self, rate: PerSecond) {
        self.rate = rate;
    }

    fn refill(&mut self, now: Tick) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(u64::from(self.rate.get()));
        let full = u64::from(self.burst) * MILLIONTHS_PER_TOKEN;
        self.millionths = self.millionths.saturating_add(gained).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }
}
