//! Names of the HTTP headers that ibiscroft reads or sets.

/// Identifies a request; a backend server echoes it in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Time left for the answer, in milliseconds; lowered at each hop.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Calls on the path from the first caller to this one.
pub const CALL_DEPTH: &str = "x-call-depth";
/// Key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether a request ran: `not_run`, `unknown` or `ran`.
pub const EXECUTION: &str = "x-execution";
/// Identifies the process run of the backend server that answered.
pub const RUN_ID: &str = "x-run-id";
/// Load of the backend server that answered: `running/slots/waiting`.
pub const LOAD: &str = "x-load";
/// State of the backend server that answered: `cold`, `warm` or `draining`.
pub const TARGET_STATE: &str = "x-target-state";
/// Marks an answer kept from an earlier try with the same key; its value is `true`.
pub const IDEMPOTENT_REPLAYED: &str = "idempotent-replayed";
