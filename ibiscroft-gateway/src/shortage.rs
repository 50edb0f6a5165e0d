//! Records that callers were refused for want of something that other callers occupy.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ibiscroft_core::Tick;

/// Time without progress after which a caller is ended during a shortage.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(2);
/// Interval at which a caller without progress is compared with the shortage.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a shortage lasts after a refusal; longer than [`STALL_TIME`], so that a caller is
/// ended that has been silent since the refusal.
const SHORTAGE_TIME: Duration = Duration::from_secs(3);

/// Shortage of something that callers occupy, as of the last refusal.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    until: AtomicU64,
}

impl Shortage {
    /// Records that a caller was refused or waits.
    pub(crate) fn note(&self, now: Tick) {
        self.until.store((now + SHORTAGE_TIME).as_micros(), Ordering::Relaxed);
    }

    /// Returns whether a caller was refused or waited recently.
    pub(crate) fn lasts(&self, now: Tick) -> bool {
        now.as_micros() < self.until.load(Ordering::Relaxed)
    }
}
