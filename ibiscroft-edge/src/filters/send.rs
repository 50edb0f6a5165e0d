//! One attempt to send a request to a selected target.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibiscroft_core::Tick;
use ibiscroft_core::ids::TargetName;

use super::identify::remove_hop_by_hop;
use super::select::SelectedTarget;
use crate::connection::{self, ConnectionError, TargetConnection};
use crate::dialect::{Dialect, Refusal};
use crate::exchange::Exchange;
use crate::reply::{ResponseBody, TargetResponse};
use crate::shared::Shared;

/// Largest response body that is read completely before it is forwarded, in bytes.
///
/// If a response of up to this size breaks off, the request can be retried at another target
/// without the caller noticing.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;

/// Why an attempt produced no response.
#[derive(Debug)]
pub(super) enum SendError {
    /// No byte of the request was handed to the connection.
    NotSent(String),
    /// The target refused the request without running it.
    Refused(Refusal),
    /// The response was lost or is unusable; the request may have run.
    Lost(String),
    /// No response arrived before the deadline; the request may have run.
    TimedOut,
}

/// Sends a request to the selected target and reads the response, at most until `deadline`.
///
/// # Errors
///
/// Returns a [`SendError`]; its variant shows whether the target may have run the request.
pub(super) async fn send<D: Dialect>(
    shared: &Shared,
    ex: &Exchange,
    selected: SelectedTarget,
    deadline: Tick,
) -> Result<TargetResponse, SendError> {
    let left = ex.deadline.since(shared.clock.now());
    let mut headers = ex.headers.clone();
    D::set_request_headers(&mut headers, left, &selected.target.name);
    let req =
        connection::build_request(ex.method.clone(), &ex.path_and_query, headers, ex.body.clone())
            .map_err(|error| SendError::NotSent(error.to_string()))?;
    let SelectedTarget { target, mut connection, .. } = selected;
    let exchange = async {
        let res = connection.exchange(req).await.map_err(|error| match error {
            ConnectionError::NotSent(detail) => SendError::NotSent(detail),
            ConnectionError::Lost(detail) => SendError::Lost(detail),
        })?;
        let (head, body) = res.into_parts();
        let metadata = D::parse_response(head.status, &head.headers, target.slots);
        if metadata.request_id.as_deref().is_some_and(|id| id != ex.request_id.as_str()) {
            return Err(SendError::Lost("the answer belongs to another request".to_string()));
        }
        if let Some(report) = metadata.report {
            let mut traffic = shared.traffic();
            let cost = report.cost(traffic.slowdown(&ex.service));
            traffic.record_cost(shared.clock.now(), &target.name, cost);
        }
        if let Some(refusal) = metadata.refusal {
            if body.collect().await.is_ok() {
                shared.pool.put(&target.name, connection);
            }
            return Err(SendError::Refused(refusal));
        }
        if head.status.is_success() && !metadata.is_sealed {
            return Err(SendError::Lost("a success without the target's seal".to_string()));
        }
        if implies_not_run(head.status) {
            let status = head.status.as_u16();
            return Err(SendError::Lost(format!("status {status} of a request that may have run")));
        }
        read_response(shared, &target.name, connection, head.status, head.headers, body).await
    };
    match tokio::time::timeout_at(shared.clock.instant(deadline), exchange).await {
        Ok(result) => result,
        Err(_) => Err(SendError::TimedOut),
    }
}

/// Returns whether callers take a status code to mean that the request has not run.
///
/// If a target responds with such a status without refusing the request, the response counts as
/// lost and is not forwarded, since the request may have run.
fn implies_not_run(status: StatusCode) -> bool {
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    not_run_statuses.contains(&status)
}

/// Reads a response completely if its body is at most `MAX_BUFFERED_BODY_BYTES`; otherwise returns
/// it with a streamed body.
async fn read_response(
    shared: &Shared,
    target: &TargetName,
    connection: TargetConnection,
    status: StatusCode,
    mut headers: HeaderMap,
    mut body: Incoming,
) -> Result<TargetResponse, SendError> {
    remove_hop_by_hop(&mut headers);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| SendError::Lost(format!("answer body: {error}")))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        buf.extend_from_slice(&chunk);
        if buf.len() > MAX_BUFFERED_BODY_BYTES {
            let body = ResponseBody::Stream(stream_body(buf.freeze(), body, connection).boxed());
            return Ok(TargetResponse { status, headers, body });
        }
    }
    shared.pool.put(target, connection);
    Ok(TargetResponse { status, headers, body: ResponseBody::Whole(buf.freeze()) })
}

/// Returns a stream of the bytes read so far and the rest of the body.
///
/// The stream owns the connection, which is closed when the caller disconnects and the stream is
/// dropped.
fn stream_body(
    first: Bytes,
    body: Incoming,
    connection: TargetConnection,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send {
    let first = stream::once(async move { Ok(first) });
    let rest = body.into_data_stream().map(move |chunk| {
        let _open = &connection;
        chunk.map_err(io::Error::other)
    });
    first.chain(rest)
}
