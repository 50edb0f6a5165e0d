//! Idempotency keys of calls.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns an idempotency key that starts with the current time in milliseconds since the Unix
/// epoch, as gateways require.
#[must_use]
#[expect(clippy::disallowed_methods, reason = "idempotency keys carry the time of day")]
pub fn timed_key(suffix: &str) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:013}-{suffix}", since_epoch.as_millis())
}
