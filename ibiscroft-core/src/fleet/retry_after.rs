//! When the caller of a refused request may retry.

use std::time::Duration;

/// Shortest delay while there is no capacity: half of the time that the round trips and
/// connections of a retry take anyway.
const MIN_DELAY: Duration = Duration::from_millis(40);
/// Delay while there is capacity; it only separates retries from each other.
const SEPARATION_DELAY: Duration = Duration::from_millis(5);
/// Jitter as a fraction of the delay, so that callers refused together do not retry together.
const JITTER: f64 = 0.5;
/// Longest delay as a fraction of the time that the caller has left; a caller does not retry if it
/// is asked to wait for longer.
const MAX_FRACTION_OF_TIME_LEFT: f64 = 0.3;

/// Longest jitter of the delay until resting targets may be used again.
const MAX_REST_JITTER: Duration = Duration::from_secs(1);

/// Returns the delay after which a caller may retry if the first of the targets can be used again
/// after `rest`; `random` in 0..1 sets the jitter.
///
/// The delay is not shortened to what the caller has left: before the rest ends it could only be
/// refused again.
#[must_use]
pub fn retry_after_rest(rest: Duration, random: f64) -> Duration {
    rest + rest.mul_f64(JITTER).min(MAX_REST_JITTER).mul_f64(random)
}

/// When capacity for a request that is refused now is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedCapacity {
    /// Immediately: the targets refused the request although they had free slots, as targets that
    /// fail part of their requests do.
    Now,
    /// After this time, when running requests have ended.
    After(Duration),
}

impl ExpectedCapacity {
    /// Returns the delay after which a caller with `left` time until its deadline may retry;
    /// `random` in 0..1 sets the jitter.
    #[must_use]
    pub fn retry_after(self, left: Duration, random: f64) -> Duration {
        let earliest = match self {
            Self::Now => SEPARATION_DELAY,
            Self::After(delay) => delay.max(MIN_DELAY),
        };
        let jittered = earliest.mul_f64(1.0 + JITTER * random);
        jittered.min(left.mul_f64(MAX_FRACTION_OF_TIME_LEFT))
    }
}
