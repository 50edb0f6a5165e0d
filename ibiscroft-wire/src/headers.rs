//! Names of the HTTP header fields that ibiscroft reads or sets.

/// Identifier of a request; a backend server repeats it in its response.
pub const REQUEST_ID: &str = "x-request-id";
/// Time left until the deadline of a request, in milliseconds; each hop lowers it.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Number of calls in the chain from the first caller to this request.
pub const CALL_DEPTH: &str = "x-call-depth";
/// Idempotency key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether a backend server ran the request: `not_run`, `unknown` or `ran`.
pub const EXECUTION: &str = "x-execution";
/// Identifier of the process run of the backend server that responded.
pub const RUN_ID: &str = "x-run-id";
/// Load of the backend server that responded, as `running/slots/waiting`: its running requests, its
/// slots and its waiting requests.
pub const LOAD: &str = "x-load";
/// State of the backend server that responded: `cold`, `warm` or `draining`.
pub const TARGET_STATE: &str = "x-target-state";
/// Marks the stored response of an earlier request with the same idempotency key; its value is
/// `true`.
pub const IDEMPOTENT_REPLAYED: &str = "idempotent-replayed";
