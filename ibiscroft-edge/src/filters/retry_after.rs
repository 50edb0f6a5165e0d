//! When a refused caller may come back.

use std::time::Duration;

use rand::Rng;

/// Shortest time after which a caller is told to come back, in milliseconds.
const SHORTEST_MS: f64 = 40.0;
/// Largest part of the time that a caller has left; one that is told to wait longer does not.
const LARGEST_PART: f64 = 0.3;

/// Returns when a caller with `left` time may come back, if there is room after `room_in`.
///
/// The returns are spread over half of that time again, so that callers who were refused together
/// do not come together.
pub(super) fn retry_after(room_in: Duration, left: Duration) -> Duration {
    let earliest = room_in.as_secs_f64().max(SHORTEST_MS / 1e3);
    let spread = earliest * rand::rng().random_range(1.0..1.5);
    Duration::from_secs_f64(spread.min(left.as_secs_f64() * LARGEST_PART))
}
