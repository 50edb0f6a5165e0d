//! What becomes of a request: an answer or one of a closed list of failures.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use ibiscroft_core::copy_data;
use poem::{Body, Response};

copy_data! {
    /// Why a request got no answer of a target.
    pub(crate) enum FailureKind {
        /// No configuration is known yet.
        NotReady,
        /// No route belongs to the request.
        NoRoute,
        /// The request cannot be read.
        BadRequest,
        /// The body is larger than allowed.
        BodyTooLarge,
        /// No target may or can take the request now.
        NoTarget,
        /// All targets are too busy to answer in time.
        Overloaded,
        /// The targets that were tried refused the request.
        Shed,
        /// The request crashed the targets that ran it.
        Quarantined,
        /// The request was sent and its answer was lost.
        AnswerLost,
        /// The request was sent and not answered in time.
        TimedOut,
    }
}

impl FailureKind {
    /// Returns the status for callers.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NotReady | Self::NoTarget | Self::Overloaded | Self::Shed | Self::Quarantined => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the request has certainly not run.
    pub(crate) const fn is_unrun(self) -> bool {
        !matches!(self, Self::AnswerLost | Self::TimedOut)
    }

    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::NoTarget => "no_target",
            Self::Overloaded => "overloaded",
            Self::Shed => "shed",
            Self::Quarantined => "quarantined",
            Self::AnswerLost => "answer_lost",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A request that got no answer of a target.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    /// Why.
    pub(crate) kind: FailureKind,
    /// What was seen, with the values that decided.
    pub(crate) detail: String,
    /// When the caller may come back.
    pub(crate) retry_after: Option<Duration>,
}

impl Failure {
    /// Makes a failure without word of when to come back.
    pub(crate) fn new(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None }
    }

    /// Sets when the caller may come back.
    #[must_use]
    pub(crate) fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the answer for the caller.
    pub(crate) fn response(&self) -> Response {
        let mut res = Response::builder()
            .status(self.kind.status())
            .content_type("text/plain; charset=utf-8")
            .body(format!("{}: {}\n", self.kind.name(), self.detail));
        let span = self.retry_after.map(|span| format!("{:.3}", span.as_secs_f64()));
        if let Some(value) = span.and_then(|text| HeaderValue::from_str(&text).ok()) {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
        res
    }
}

/// Body of a target's answer.
pub(crate) enum AnswerBody {
    /// It arrived whole.
    Whole(Bytes),
    /// It is too large to be kept and is passed on as it arrives.
    Stream(BoxStream<'static, std::io::Result<Bytes>>),
}

/// A target's answer.
pub(crate) struct Answer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Header fields for the caller.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: AnswerBody,
}

impl Answer {
    /// Returns the answer for the caller.
    pub(crate) fn into_response(self) -> Response {
        let mut res = Response::builder().status(self.status).finish();
        *res.headers_mut() = self.headers;
        match self.body {
            AnswerBody::Whole(body) => res.set_body(body),
            AnswerBody::Stream(body) => res.set_body(Body::from_bytes_stream(body)),
        }
        res
    }
}

/// Outcome of a request.
pub(crate) type Reply = Result<Answer, Failure>;
