//! One request on its way through the filter chain, and its response or failure.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderMap, Method, StatusCode};
use ibiscroft_core::Tick;
use ibiscroft_core::ids::{CallDepth, IdempotencyKey, RequestId, TargetName};
use ibiscroft_wire::ErrorKind;

use crate::snapshot::ServiceView;

/// A request whose body was read and whose service is known.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Identifies the request in responses, in logs and at the backend server.
    pub(crate) request_id: RequestId,
    /// When the head of the request was received.
    pub(crate) received: Tick,
    /// When the caller stops waiting.
    pub(crate) deadline: Tick,
    /// Number of calls in the chain of calls that led to this request, this one included.
    pub(crate) depth: CallDepth,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query of the URL.
    pub(crate) path_and_query: String,
    /// End-to-end header fields.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
    /// Idempotency key; present for at-most-once requests only.
    pub(crate) key: Option<IdempotencyKey>,
    /// The service that serves the request.
    pub(crate) service: Arc<ServiceView>,
    /// Time spent waiting for admission and for backend servers, which the gateway does not count
    /// as time that it added.
    pub(crate) upstream_time: Duration,
    /// Target of the last attempt.
    pub(crate) sent_to: Option<TargetName>,
}

impl Exchange {
    /// Returns whether this is an at-most-once request.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.service.service.is_at_most_once(self.method.as_str())
    }

    /// Returns whether the request may be retried although an earlier attempt may have run.
    pub(crate) fn is_safe(&self) -> bool {
        self.method.is_safe() && !self.is_at_most_once()
    }
}

/// A body as a stream of chunks.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Body of a response.
pub(crate) enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is forwarded as it arrives; an error closes the connection to the caller.
    Stream(BodyStream),
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

/// Response of a backend server.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// End-to-end header fields.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: ResponseBody,
}

/// Why a request got no response from a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    /// Kind, which determines the response to the caller.
    pub(crate) kind: ErrorKind,
    /// Description of this occurrence, for the caller.
    pub(crate) detail: String,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the rest of the request's body is not read, so that the connection is closed.
    pub(crate) is_body_unread: bool,
}

impl Failure {
    /// Creates a failure without a retry delay.
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None, is_body_unread: false }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub(crate) fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Records that the rest of the request's body is not read.
    #[must_use]
    pub(crate) const fn body_unread(mut self) -> Self {
        self.is_body_unread = true;
        self
    }
}

/// Result of the filter chain.
pub(crate) type Reply = Result<BackendResponse, Failure>;
