//! Limit on the requests that one gateway sends at once, adapted to their outcomes.

use super::Outcome;

/// Lower bound of the limit, in requests.
const MIN_LIMIT: f64 = 1.0;
/// Factor of the limit after a sign of overload.
const DECREASE_FACTOR: f64 = 0.85;
/// Increase of the limit, in requests, for as many responses as the limit allows at once.
const INCREASE_PER_ROUND: f64 = 1.0;

/// Concurrency limit with additive increase and multiplicative decrease (AIMD), between one
/// and the number of slots of the service.
///
/// All gateways follow the same rule and so share the slots without communication.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// Requests that have to end before the next decrease. It is set to the number of requests
    /// in flight, so that one round of requests lowers the limit only once.
    decrease_cooldown: u32,
}

impl ConcurrencyLimit {
    pub(super) fn new() -> Self {
        Self { limit: f64::INFINITY, decrease_cooldown: 0 }
    }

    /// Returns the limit for a service with `slots`, at least one.
    pub(super) fn current(&self, slots: u32) -> u32 {
        self.limit.min(f64::from(slots)).max(MIN_LIMIT) as u32
    }

    /// Adjusts the limit after a request that ended while `in_flight` were running.
    ///
    /// A temporarily lower number of `slots` does not lower the limit that was reached: it
    /// applies again when the slots are back.
    pub(super) fn adjust(&mut self, slots: u32, in_flight: u32, outcome: Outcome) {
        let slots = f64::from(slots);
        let effective = self.limit.min(slots).max(MIN_LIMIT);
        let is_limit_reached = in_flight >= effective as u32;
        self.decrease_cooldown = self.decrease_cooldown.saturating_sub(1);
        match outcome {
            Outcome::Answered if is_limit_reached && self.limit < slots => {
                self.limit = (self.limit + INCREASE_PER_ROUND / self.limit).min(slots);
            }
            Outcome::Shed | Outcome::Congested | Outcome::TimedOut
                if self.decrease_cooldown == 0 =>
            {
                self.limit = (effective * DECREASE_FACTOR).max(MIN_LIMIT);
                self.decrease_cooldown = in_flight;
            }
            _ => {}
        }
    }
}
