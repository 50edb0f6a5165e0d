//! The number of requests that one gateway sends at once, found from their outcomes.

use super::Outcome;

/// Requests that may always be sent at once.
const MIN_LIMIT: f64 = 1.0;
/// Share of the limit kept after a sign of overload.
const DECREASE: f64 = 0.85;
/// Requests that the limit rises by for each full round of answers.
const INCREASE: f64 = 1.0;

/// Additive increase, multiplicative decrease, between one and the slots of the service.
///
/// All gateways adjust alike, so they share the slots without talking.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// Answers to pass over after a decrease, so that one round of requests decreases once.
    hold: u32,
}

impl ConcurrencyLimit {
    pub(super) fn new() -> Self {
        Self { limit: f64::INFINITY, hold: 0 }
    }

    /// Returns the limit for a service with `slots`.
    pub(super) fn current(&self, slots: u32) -> u32 {
        self.limit.min(f64::from(slots)).max(MIN_LIMIT) as u32
    }

    /// Adjusts the limit after a request that ended while `in_flight` were sent.
    ///
    /// Slots that are gone for a while do not lower what was learned.
    pub(super) fn adjust(&mut self, slots: u32, in_flight: u32, outcome: Outcome) {
        let slots = f64::from(slots);
        let effective = self.limit.min(slots).max(MIN_LIMIT);
        let is_in_use = in_flight >= effective as u32;
        self.hold = self.hold.saturating_sub(1);
        match outcome {
            Outcome::Answered if is_in_use && self.limit < slots => {
                self.limit = (self.limit + INCREASE / self.limit).min(slots);
            }
            Outcome::Shed | Outcome::Congested | Outcome::TimedOut if self.hold == 0 => {
                self.limit = (effective * DECREASE).max(MIN_LIMIT);
                self.hold = in_flight;
            }
            _ => {}
        }
    }
}
