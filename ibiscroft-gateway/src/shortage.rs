//! Records that callers were refused for want of something that other callers occupy.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ibiscroft_core::Tick;

/// Time for which a shortage lasts after a refusal; callers that were refused come again after it.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

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
