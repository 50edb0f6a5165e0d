//! What traffic threads tell the control thread.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};

/// Something a traffic thread saw at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The target said that it drains.
    Draining {
        /// The target.
        target: TargetName,
        /// Process run that said it; empty when the answer did not name it.
        run: RunId,
        /// When the request was sent.
        asked_at: Tick,
    },
}
