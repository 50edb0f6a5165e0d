//! One try at a time for each suspect.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Shows whether a try of a suspect is in flight; shared by all snapshots.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialSlot {
    is_taken: Arc<AtomicBool>,
}

impl TrialSlot {
    /// Takes the slot, `None` while another try is in flight.
    pub(super) fn take(&self) -> Option<Trial> {
        let was_taken = self.is_taken.swap(true, Ordering::AcqRel);
        (!was_taken).then(|| Trial { slot: self.clone() })
    }
}

/// A try of a suspect in flight; it ends when dropped.
#[derive(Debug)]
pub struct Trial {
    slot: TrialSlot,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.slot.is_taken.store(false, Ordering::Release);
    }
}
