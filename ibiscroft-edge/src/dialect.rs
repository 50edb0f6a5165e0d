//! What an adapter knows of the header fields of callers and targets.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use ibiscroft_core::fleet::ProbeReport;
use ibiscroft_core::ids::{RequestId, Slots, TargetName};

/// What a caller's header fields say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this attempt of the caller.
    pub request_id: Option<RequestId>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is full or ends.
    Shed,
    /// It is not the target that the request is meant for.
    WrongTarget,
}

/// What the header fields of a target's answer say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the answer bears the mark of a request that ran to its end.
    pub is_sealed: bool,
    /// Why the request did not run; `None` if it may have run.
    pub refusal: Option<Refusal>,
    /// Load of the target.
    pub report: Option<ProbeReport>,
}

/// What a target says of its health.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeResponse {
    /// The target that answers; a full one may leave it out.
    pub target: Option<TargetName>,
    /// Load and health; the load is that of an idle target if it tells none.
    pub report: ProbeReport,
}

/// Meaning of the header fields that callers and targets use.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's header fields.
    ///
    /// # Errors
    ///
    /// Names the field that cannot be read and its value.
    fn parse_request(headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Sets the fields that a target expects: the time that is `left` and the `target` meant.
    fn set_request_headers(headers: &mut HeaderMap, left: Duration, target: &TargetName);

    /// Reads the header fields of a target's answer.
    fn parse_response(status: StatusCode, headers: &HeaderMap, slots: Slots) -> ResponseMetadata;

    /// Reads the answer to a health check; `None` if it is no such answer.
    fn parse_probe_response(
        status: StatusCode,
        headers: &HeaderMap,
        slots: Slots,
    ) -> Option<ProbeResponse>;
}
