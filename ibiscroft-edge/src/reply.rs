//! Outcome of a request: a target's response or one of a fixed set of failures.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use ibiscroft_core::copy_data;
use poem::{Body, Response};
use tokio::time::Instant;

use crate::segments::WholeResponse;

/// Scheme of the credentials that callers must send.
const CHALLENGE: HeaderValue = HeaderValue::from_static("Bearer");

copy_data! {
    /// Why a request is answered by the gateway instead of a target.
    pub(crate) enum FailureKind {
        /// The gateway has not received a configuration yet, or not one that is current enough to
        /// tell whether an API key is known.
        NotReady,
        /// No route matches the request's host and path.
        NoRoute,
        /// The route needs an API key, and the request has none that is known.
        Unauthorized,
        /// A header field or the body of the request cannot be read.
        BadRequest,
        /// The body has not arrived before the deadline of its request.
        BodyLate,
        /// No memory was available for the body, or it stalled while others waited for memory.
        NoMemory,
        /// The body is larger than the configured limit.
        BodyTooLarge,
        /// The organisation of the caller exceeds its quota.
        OverQuota,
        /// This gateway does not know how much of the quota others use, and its share is used up.
        QuotaUnknown,
        /// No target is usable, or none of them can be reached.
        NoTarget,
        /// The best target is expected to respond too late.
        Overloaded,
        /// The attempted targets refused the request.
        Shed,
        /// The gateway is stopping and the request might not complete before it has stopped.
        Stopping,
        /// Targets that ran the request crashed; it is not sent to further ones.
        Quarantined,
        /// The request was sent, but its response was lost.
        ResponseLost,
        /// The request was not answered before its deadline and may have run.
        TimedOut,
    }
}

impl FailureKind {
    /// Returns the status code of the response to the caller.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::QuotaUnknown
            | Self::NoMemory
            | Self::NoTarget
            | Self::Overloaded
            | Self::Shed
            | Self::Stopping
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the failure guarantees that no target has run the request.
    pub(crate) const fn guarantees_not_run(self) -> bool {
        !matches!(self, Self::ResponseLost | Self::TimedOut)
    }

    /// Returns whether the connection is closed after the response because the rest of the request
    /// is not read.
    const fn closes_connection(self) -> bool {
        matches!(self, Self::BodyLate | Self::NoMemory | Self::BodyTooLarge)
    }

    /// Returns the name used in logs, metrics and the response to the caller.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::BadRequest => "bad_request",
            Self::BodyLate => "body_late",
            Self::NoMemory => "no_memory",
            Self::BodyTooLarge => "body_too_large",
            Self::OverQuota => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
            Self::NoTarget => "no_target",
            Self::Overloaded => "overloaded",
            Self::Shed => "shed",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::ResponseLost => "answer_lost",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A request that is answered by the gateway instead of a target.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    /// Kind of failure.
    pub(crate) kind: FailureKind,
    /// Description for the caller, with the values that led to the failure.
    pub(crate) detail: String,
    /// Time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the connection is closed after the response because the rest of the request is not
    /// read.
    closes_connection: bool,
}

impl Failure {
    /// Creates a failure without a retry time.
    pub(crate) fn new(kind: FailureKind, detail: impl Into<String>) -> Self {
        let closes_connection = kind.closes_connection();
        Self { kind, detail: detail.into(), retry_after: None, closes_connection }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub(crate) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Closes the connection after the response.
    #[must_use]
    pub(crate) fn closing_connection(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Returns the response to the caller.
    pub(crate) fn response(&self) -> Response {
        let mut res = Response::builder()
            .status(self.kind.status())
            .content_type("text/plain; charset=utf-8")
            .body(format!("{}: {}\n", self.kind.name(), self.detail));
        if self.kind == FailureKind::Unauthorized {
            res.headers_mut().insert(header::WWW_AUTHENTICATE, CHALLENGE);
        }
        if self.closes_connection {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let delay = self.retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
        if let Some(value) = delay.and_then(|text| HeaderValue::from_str(&text).ok()) {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
        res
    }
}

/// Body of a target's response.
pub(crate) enum ResponseBody {
    /// The complete body.
    Whole(WholeResponse),
    /// A body that is too large to buffer and is streamed to the caller.
    Stream {
        /// Chunks of the body.
        chunks: BoxStream<'static, std::io::Result<Bytes>>,
        /// When the body breaks off if it has not ended.
        cut_at: Instant,
    },
}

/// A target's response.
pub(crate) struct TargetResponse {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Header fields for the caller.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: ResponseBody,
}

impl TargetResponse {
    /// Converts the response to one to the caller.
    pub(crate) fn into_response(self) -> Response {
        let mut res = Response::builder().status(self.status).finish();
        *res.headers_mut() = self.headers;
        match self.body {
            ResponseBody::Whole(body) => {
                res.set_body(BodyExt::map_err(body, |never| match never {}).boxed());
            }
            ResponseBody::Stream { chunks, .. } => {
                res.set_body(Body::from_bytes_stream(chunks));
            }
        }
        res
    }
}

/// Outcome of a request.
pub(crate) type Reply = Result<TargetResponse, Failure>;
