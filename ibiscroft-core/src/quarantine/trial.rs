//! Limits each suspect to one attempt at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether an attempt of a suspect is in flight; shared by all snapshots.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialSlot {
    is_taken: Arc<AtomicBool>,
}

impl TrialSlot {
    /// Takes the slot; `None` while another attempt is in flight.
    pub(super) fn take(&self) -> Option<Trial> {
        let was_taken = self.is_taken.swap(true, Ordering::AcqRel);
        (!was_taken).then(|| Trial { slot: self.clone() })
    }
}

/// An attempt of a suspect in flight; dropping it allows the next one.
#[derive(Debug)]
pub struct Trial {
    slot: TrialSlot,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.slot.is_taken.store(false, Ordering::Release);
    }
}
