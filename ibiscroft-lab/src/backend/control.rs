//! Changes to a running backend server.

use serde::{Deserialize, Serialize};

/// Faults on the next answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResponseFaults {
    /// Requests that get these faults; 0 means none.
    pub count: u32,
    /// Ends the connection after this many bytes of the body.
    pub truncate_after: Option<u64>,
    /// Sends nothing more after this many bytes of the body.
    pub stall_after: Option<u64>,
    /// Ends the process after this many bytes of the body, as a crash does.
    pub crash_after: Option<u64>,
    /// Answers with another request's id and bytes.
    pub crossed: bool,
    /// Delay of the first byte, in milliseconds.
    pub first_byte_delay_ms: u64,
    /// Runs the request and closes the connection without an answer.
    pub lose_answer: bool,
    /// Reads, never answers and keeps the connection open.
    pub silent: bool,
}

/// Changes; an absent field changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Whether the server announces that it leaves.
    pub draining: Option<bool>,
    /// Falls back into cold start, or ends it.
    pub cold: Option<bool>,
    /// Factor on all work.
    pub slow_factor: Option<f64>,
    /// Whether `/health` reports a failure.
    pub unhealthy: Option<bool>,
    /// Silences the open connections; new ones work.
    pub silence_connections: Option<bool>,
    /// Whether each request gets a validator of this run only.
    pub own_validator: Option<bool>,
    /// Faults on the next answers.
    pub answer_faults: Option<ResponseFaults>,
}
