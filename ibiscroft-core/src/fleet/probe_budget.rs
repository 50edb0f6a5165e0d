//! One gateway's share of the fleet's budget of probes.

use std::time::Duration;

use crate::Tick;

/// Time for which unused probes are saved up. The limit on the rate applies to a whole day, and
/// probes are most useful during a burst of requests, which lasts seconds.
const BURST: Duration = Duration::from_secs(20);

/// Token bucket that necessary probes may overdraw.
///
/// A negative balance must be earned back before any other probe is allowed. So the rate holds over
/// any period longer than the burst, provided that the necessary probes alone stay below it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    balance: f64,
    updated_at: Tick,
}

impl ProbeBudget {
    /// Takes a probe from a budget of `rate` probes per second; returns whether it is allowed. A
    /// `necessary` probe always is.
    pub fn try_take(&mut self, now: Tick, rate: f64, necessary: bool) -> bool {
        let earned = now.since(self.updated_at).as_secs_f64() * rate;
        self.balance = (self.balance + earned).min(rate * BURST.as_secs_f64());
        self.updated_at = self.updated_at.max(now);
        if !necessary && self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns whether the bucket was more than half full after the last probe, at a budget of
    /// `rate` probes per second.
    #[must_use]
    pub fn is_over_half_full(&self, rate: f64) -> bool {
        self.balance > rate * BURST.as_secs_f64() / 2.0
    }
}
