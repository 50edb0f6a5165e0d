//! Injected faults of the store.

use serde::{Deserialize, Serialize};

/// Active faults; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Closes connections without a response; calls have no effect.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes and deletions that take effect and whose connection is closed without
    /// a response.
    pub lose_answers: u32,
}
