//! The adapter's interface to the header fields of callers and targets.

use std::time::Duration;

use http::{HeaderMap, HeaderName, StatusCode};
use ibiscroft_core::copy_data;
use ibiscroft_core::fleet::{KeyDigest, ProbeReport};
use ibiscroft_core::ids::{OrganisationName, RequestId, Slots, TargetName};

copy_data! {
    /// API key of a caller's request; the key itself is not kept.
    pub enum Credential {
        /// The request has no key.
        Missing,
        /// Digest of the request's key.
        Key(KeyDigest),
        /// The request has several credentials, so that none of them applies.
        Ambiguous,
    }
}

/// Parsed header fields of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this attempt of the caller, if it sent one.
    pub request_id: Option<RequestId>,
    /// How long the caller waits for the response, if it states a time.
    pub timeout: Option<Duration>,
}

/// Why a target refused a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The target is full or shutting down.
    Shed,
    /// The request names another target than the one that received it.
    WrongTarget,
}

/// Parsed header fields of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that this is the response to; `None` if the response states none.
    pub request_id: Option<RequestId>,
    /// Whether the response carries the seal that a target sets once a request has run to its
    /// end.
    pub is_sealed: bool,
    /// Why the target refused the request; `None` if the request may have run.
    pub refusal: Option<Refusal>,
    /// Load of the target, if the response states it.
    pub report: Option<ProbeReport>,
    /// What the target asks of this gateway.
    pub wish: TargetWish,
}

/// What a target asks of the gateway that it responds to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetWish {
    /// Whether the target announces that it is leaving.
    pub is_leaving: bool,
    /// How long the target wants no further requests and probes of this gateway.
    pub rest: Option<Duration>,
}

/// Parsed response to a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeResponse {
    /// Name of the target that responded; a full target may omit it.
    pub target: Option<TargetName>,
    /// Load and health of the target; if it states no load, the load of an idle target.
    pub report: ProbeReport,
    /// What the target asks of this gateway.
    pub wish: TargetWish,
}

/// Parses and sets the header fields that callers and targets use.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the header fields of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a message with the name and value of the first malformed field.
    fn parse_request(headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Parses the API key of a caller's request.
    fn parse_credential(headers: &HeaderMap) -> Credential;

    /// Returns whether a header field of callers is withheld from targets if callers have API keys:
    /// it holds a credential or could be taken for the organisation's name.
    fn is_withheld(field: &HeaderName) -> bool;

    /// Sets the fields that a target expects: the time `left` until the deadline, the name of the
    /// `target` that the request is meant for, and that of the caller's `organisation`, if known.
    fn set_request_headers(
        headers: &mut HeaderMap,
        left: Duration,
        target: &TargetName,
        organisation: Option<&OrganisationName>,
    );

    /// Parses the header fields of a target's response to a request.
    ///
    /// `slots` is the number of slots in the target's registration, for a load report that states
    /// none.
    fn parse_response(status: StatusCode, headers: &HeaderMap, slots: Slots) -> ResponseMetadata;

    /// Parses the header fields of the response to a health check.
    ///
    /// Returns `None` if the response belongs to something other than a health check. `slots` is
    /// the number of slots in the target's registration, for a load report that states none.
    fn parse_probe_response(
        status: StatusCode,
        headers: &HeaderMap,
        slots: Slots,
    ) -> Option<ProbeResponse>;
}
