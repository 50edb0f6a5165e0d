//! One request on its way through the filter chain, and what comes back.

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

/// A request that was read and identified.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Identifies the request in answers, logs and at the backend server.
    pub(crate) request_id: RequestId,
    /// When the request's head was read.
    pub(crate) received: Tick,
    /// When the caller no longer waits.
    pub(crate) deadline: Tick,
    /// Calls on the path, this one included.
    pub(crate) depth: CallDepth,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path_and_query: String,
    /// End-to-end header fields.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Key of a request that must run at most once.
    pub(crate) key: Option<IdempotencyKey>,
    /// The service that serves the request.
    pub(crate) service: Arc<ServiceView>,
    /// Time spent waiting for backend servers.
    pub(crate) upstream_time: Duration,
    /// Target that received the request last.
    pub(crate) sent_to: Option<TargetName>,
}

impl Exchange {
    /// Returns whether the request must run at most once.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.service.service.is_at_most_once(self.method.as_str())
    }

    /// Returns whether the request may be sent again after an unknown outcome.
    pub(crate) fn is_safe(&self) -> bool {
        self.method.is_safe() && !self.is_at_most_once()
    }
}

/// A body that arrives piece by piece.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Body of an answer.
pub(crate) enum ResponseBody {
    /// Held in memory.
    Whole(Bytes),
    /// Passed on as it arrives; an error ends the caller's connection visibly.
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

/// An answer of a backend server.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    /// Status.
    pub(crate) status: StatusCode,
    /// End-to-end header fields.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: ResponseBody,
}

/// Why a request got no answer from a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    /// Kind, which decides the answer to the caller.
    pub(crate) kind: ErrorKind,
    /// What happened to this request.
    pub(crate) detail: String,
    /// Earliest time for another try.
    pub(crate) retry_after: Option<Duration>,
}

impl Failure {
    /// Makes a failure without advice on when to try again.
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None }
    }

    /// Sets the earliest time for another try.
    #[must_use]
    pub(crate) fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

/// What the filter chain returns.
pub(crate) type Reply = Result<BackendResponse, Failure>;
