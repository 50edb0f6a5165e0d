//! Faults of the store.

use serde::{Deserialize, Serialize};

/// Faults in force; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Closes connections without an answer; no call has an effect.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Next writes that take effect and whose connection is closed without an answer.
    pub lose_answers: u32,
}
