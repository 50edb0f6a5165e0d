//! What traffic threads tell the control thread.

use ibiscroft_core::ids::TargetName;

/// Something a traffic thread saw at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The target said that it drains.
    Draining {
        /// The target.
        target: TargetName,
    },
}
