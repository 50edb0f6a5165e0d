//! What traffic threads tell the control thread.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::quarantine::{Fingerprint, Loss};

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
    /// The connection of a request ended before its answer.
    Lost {
        /// The request, the target and its run.
        loss: Loss,
        /// When the request was sent.
        sent_at: Tick,
    },
    /// A request under suspicion was answered.
    Answered {
        /// The request.
        fingerprint: Fingerprint,
    },
}
