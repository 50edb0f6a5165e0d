//! How current the configuration is by which a request is judged.

use std::time::Duration;

use ibiscroft_core::ids::Generation;

use super::NOT_READY_RETRY_AFTER;
use crate::reply::{Failure, FailureKind};

/// Staleness up to which a configuration counts as the newest one; above the staleness at which a
/// gateway that can reach the store reads it itself.
const MAX_STALENESS: Duration = Duration::from_secs(2);

/// Version of a configuration and the time since it was known to be the newest one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Currency {
    /// Version of the configuration.
    pub(super) version: Generation,
    /// Time since the configuration was known to be the newest one; the longest duration if it
    /// never was.
    pub(super) staleness: Duration,
}

/// Returns whether a configuration with this staleness counts as the newest one.
pub(crate) fn is_current(staleness: Duration) -> bool {
    staleness <= MAX_STALENESS
}

impl Currency {
    /// Returns the failure for a request that the configuration does not allow.
    ///
    /// Callers do not retry after a status for `kind`. If a newer configuration may allow the
    /// request, the failure is `NotReady` instead, which asks the caller to retry.
    pub(super) fn refusal(self, kind: FailureKind, reason: &str) -> Failure {
        let Self { version, staleness } = self;
        if is_current(staleness) {
            let detail =
                format!("{reason}, version {version}, current {} ms ago", staleness.as_millis());
            return Failure::new(kind, detail);
        }
        let detail = format!("{reason}, version {version}, which may not be the newest one");
        Failure::new(FailureKind::NotReady, detail).retry_after(NOT_READY_RETRY_AFTER)
    }
}
