//! One gateway's part of the health checks that targets bear.

use std::time::Duration;

use crate::Tick;

/// Time whose health checks may be sent at once: the bound holds over a day, and checks are worth
/// most in the seconds of a burst.
const BURST: Duration = Duration::from_secs(20);

/// A token bucket that may be overdrawn by the checks that a request cannot do without.
///
/// What is overdrawn is earned before anything else is allowed, so the rate holds over any span
/// longer than the burst as long as the necessary checks alone stay below it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    balance: f64,
    earned_at: Tick,
}

impl ProbeBudget {
    /// Takes a check at `rate` a second; a `necessary` one is always allowed.
    pub fn try_take(&mut self, now: Tick, rate: f64, necessary: bool) -> bool {
        let earned = now.since(self.earned_at).as_secs_f64() * rate;
        self.balance = (self.balance + earned).min(rate * BURST.as_secs_f64());
        self.earned_at = self.earned_at.max(now);
        if !necessary && self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns whether more than half of what may be saved at `rate` was left at the last check.
    #[must_use]
    pub fn is_over_half_full(&self, rate: f64) -> bool {
        self.balance > rate * BURST.as_secs_f64() / 2.0
    }
}
