//! Control requests to a running backend server.

use serde::{Deserialize, Serialize};

/// Faults injected into the next responses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResponseFaults {
    /// Number of responses that get these faults; 0 means none.
    pub count: u32,
    /// Ends the connection after this many bytes of the response body.
    pub truncate_after: Option<u64>,
    /// Stops sending after this many bytes of the response body and keeps the connection open.
    pub stall_after: Option<u64>,
    /// Crashes the server after this many bytes of the response body.
    pub crash_after: Option<u64>,
    /// Responds with the id and the body of another request.
    pub crossed: bool,
    /// Delay of the response, in milliseconds.
    pub first_byte_delay_ms: u64,
    /// Runs the request and closes the connection without a response.
    pub lose_answer: bool,
    /// Runs the request, sends no response and keeps the connection open.
    pub silent: bool,
}

/// Changes to the state of a backend server; an absent field changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Whether the server announces that it is draining.
    pub draining: Option<bool>,
    /// Makes the server cold or warm.
    pub cold: Option<bool>,
    /// Factor on the duration of all work.
    pub slow_factor: Option<f64>,
    /// Whether `/health` responds with status 503.
    pub unhealthy: Option<bool>,
    /// Silences the open connections: they discard all data. New connections are not affected.
    pub silence_connections: Option<bool>,
    /// Whether entity tags are specific to this run, instead of the same for all servers.
    pub own_validator: Option<bool>,
    /// Faults injected into the next responses.
    pub answer_faults: Option<ResponseFaults>,
}
