//! When the caller of a refused request may come back.

use std::time::Duration;

/// Shortest wait for room; half of the round trips and connections that a return costs anyway.
const SHORTEST_WAIT: Duration = Duration::from_millis(40);
/// Wait where there is room already; it only separates the returns.
const SEPARATION: Duration = Duration::from_millis(5);
/// Part of a wait over which returns are spread, so that callers who were refused together do not
/// come back together.
const SPREAD: f64 = 0.5;
/// Largest part of the time that a caller has left; one that is told to wait longer does not.
const LARGEST_PART: f64 = 0.3;

/// When a request that is refused now could be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedCapacity {
    /// At once: the targets had free slots and refused all the same, as those do that fail part
    /// of their requests.
    Now,
    /// After a time, when requests that run have ended.
    After(Duration),
}

impl ExpectedCapacity {
    /// Returns when a caller with `left` time may come back; `chance` in 0..1 spreads returns.
    #[must_use]
    pub fn retry_after(self, left: Duration, chance: f64) -> Duration {
        let earliest = match self {
            Self::Now => SEPARATION,
            Self::After(wait) => wait.max(SHORTEST_WAIT),
        };
        let spread = earliest.mul_f64(1.0 + SPREAD * chance);
        spread.min(left.mul_f64(LARGEST_PART))
    }
}
