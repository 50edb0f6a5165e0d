//! Observations that traffic threads report to the control thread.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};

/// An observation of a traffic thread about a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// A response of the target reported that it drains.
    Draining {
        /// The target.
        target: TargetName,
        /// Process run that drains; empty when the response did not state it.
        run: RunId,
        /// When the request was sent.
        sent_at: Tick,
    },
}
