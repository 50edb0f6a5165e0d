//! One attempt to send a request to a selected target.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{ByteShare, Target};
use ibiscroft_core::ids::{RequestId, Slots, TargetName};
use tokio::time::Instant;

use super::forward::LATE_RESPONSE_GRACE;
use super::identify::remove_hop_by_hop;
use super::select::SelectedTarget;
use crate::byte_budget::Holder;
use crate::connection::{self, ConnectionError, TargetConnection};
use crate::dialect::{Dialect, Refusal, ResponseMetadata};
use crate::exchange::Exchange;
use crate::reply::{ResponseBody, TargetResponse};
use crate::segments::{SegmentBuffer, WholeResponse, releasing_segments};
use crate::shared::Shared;

/// Largest response body that is read completely before it is forwarded, in bytes.
///
/// If a response of up to this size breaks off, the request can be retried at another target
/// without the caller noticing.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// Longest body of a refusal that is read so that its connection can be used again, in bytes.
const MAX_DISCARDED_BODY_BYTES: usize = 64 << 10;
/// Timeout for reading the body of a refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt produced no response.
#[derive(Debug)]
pub(super) enum SendError {
    /// No byte of the request was handed to the connection.
    NotSent(String),
    /// The target refused the request without running it.
    Refused(Refusal),
    /// The response was lost or is unusable; the request may have run.
    Lost(String),
    /// The target reset the connection after the send; the request may have run.
    Reset(String),
    /// No response arrived before the deadline; the request may have run.
    TimedOut,
}

/// Sends a request to the selected target and reads the response, at most until `deadline`.
///
/// # Errors
///
/// Returns a [`SendError`]; its variant shows whether the target may have run the request.
pub(super) async fn send<D: Dialect>(
    shared: &Arc<Shared>,
    ex: &Exchange,
    selected: SelectedTarget,
    deadline: Tick,
) -> Result<TargetResponse, SendError> {
    let left = ex.deadline.since(shared.clock.now());
    let mut headers = ex.headers.clone();
    let target_name = &selected.target.name;
    D::set_request_headers(&mut headers, left, target_name, ex.organisation.as_ref());
    let req =
        connection::build_request(ex.method.clone(), &ex.path_and_query, headers, ex.body.clone())
            .map_err(|error| SendError::NotSent(error.to_string()))?;
    let SelectedTarget { target, mut connection, .. } = selected;
    let exchange = async {
        let res = connection.exchange(req, is_final::<D>).await.map_err(|error| match error {
            ConnectionError::NotSent(detail) => SendError::NotSent(detail),
            ConnectionError::Lost(detail) => SendError::Lost(detail),
            ConnectionError::Reset(detail) => SendError::Reset(detail),
        })?;
        let (head, body) = res.into_parts();
        let metadata = D::parse_response(head.status, &head.headers, target.slots);
        if let Some(detail) = unrelated(ex, &metadata) {
            return Err(SendError::Lost(detail));
        }
        if let Some(report) = metadata.report {
            let mut traffic = shared.traffic();
            let cost = report.cost(traffic.slowdown(&ex.service));
            traffic.record_cost(shared.clock.now(), &target.name, cost);
        }
        shared.note_wish(&target, metadata.wish);
        if let Some(refusal) = metadata.refusal {
            tokio::spawn(discard_body(Arc::clone(shared), target, connection, body));
            return Err(SendError::Refused(refusal));
        }
        if needs_seal(head.status) && !metadata.is_sealed {
            let status = head.status.as_u16();
            return Err(SendError::Lost(format!("status {status} without the target's seal")));
        }
        if implies_not_run(head.status) {
            let status = head.status.as_u16();
            return Err(SendError::Lost(format!("status {status} of a request that may have run")));
        }
        let cut_at = shared.clock.instant(ex.received + ex.route.timeout + LATE_RESPONSE_GRACE);
        read_response(shared, &target.name, connection, head, body, cut_at).await
    };
    match tokio::time::timeout_at(shared.clock.instant(deadline), exchange).await {
        Ok(result) => result,
        Err(_) => Err(SendError::TimedOut),
    }
}

/// Returns why a response cannot be taken for that to `ex`; `None` if it can.
///
/// A target may send a response twice, so the second copy of an earlier one can arrive where this
/// one is due. The identifier tells them apart; a response to a health check has none.
fn unrelated(ex: &Exchange, metadata: &ResponseMetadata) -> Option<String> {
    if metadata.request_id != ex.request_id {
        let id = metadata.request_id.as_ref().map_or("no id", RequestId::as_str);
        return Some(format!("the response bears {id}, not the id of the request"));
    }
    if metadata.refusal.is_some() && ex.request_id.is_none() && !ex.route.repeatable.is_repeatable()
    {
        return Some("a refusal of a request without an id may be that of another one".to_string());
    }
    None
}

/// Reads the rest of a refusal and returns its connection to the pool.
///
/// The connection is closed if the body is longer than `MAX_DISCARDED_BODY_BYTES` or takes longer
/// than `DISCARD_TIMEOUT`.
async fn discard_body(
    shared: Arc<Shared>,
    target: Target,
    connection: TargetConnection,
    body: Incoming,
) {
    let body = Limited::new(body, MAX_DISCARDED_BODY_BYTES).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, body).await {
        shared.pool.put(&target.name, connection);
    }
}

/// Returns whether the header fields of an interim response are those of a final one.
fn is_final<D: Dialect>(headers: &HeaderMap) -> bool {
    connection::announces_body(headers)
        || D::parse_response(StatusCode::OK, headers, Slots(0)).is_sealed
}

/// Returns whether callers take a status code to be final, so that a response with it is forwarded
/// only if its seal shows that it comes from the target.
fn needs_seal(status: StatusCode) -> bool {
    status.is_success() || status.is_redirection() || status.is_client_error()
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

/// Reads a response completely if its body is at most `MAX_BUFFERED_BODY_BYTES` and there is memory
/// for it; otherwise returns it with a streamed body, which breaks off at `cut_at`.
async fn read_response(
    shared: &Shared,
    target: &TargetName,
    connection: TargetConnection,
    head: Parts,
    mut body: Incoming,
    cut_at: Instant,
) -> Result<TargetResponse, SendError> {
    let Parts { status, mut headers, .. } = head;
    remove_hop_by_hop(&mut headers);
    let expected = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let holder = shared.bytes.open();
    holder.note_complete();
    let mut buf = SegmentBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| SendError::Lost(format!("answer body: {error}")))?;
        let Ok(mut chunk) = frame.into_data() else {
            continue;
        };
        let is_buffered = buf.len() + chunk.len() <= MAX_BUFFERED_BODY_BYTES
            && try_copy(&mut buf, &mut chunk, expected, &holder);
        if !is_buffered {
            let mut first = releasing_segments(buf, &holder);
            first.push(chunk);
            let chunks = stream_body(first, body, connection, cut_at).boxed();
            let body = ResponseBody::Stream { chunks, cut_at };
            return Ok(TargetResponse { status, headers, body });
        }
    }
    shared.pool.put(target, connection);
    let body = ResponseBody::Whole(WholeResponse::new(buf, holder));
    Ok(TargetResponse { status, headers, body })
}

/// Copies a chunk of a response to `buf`; returns whether there was memory for all of it. What has
/// not been copied is left in `chunk`.
fn try_copy(
    buf: &mut SegmentBuffer,
    chunk: &mut Bytes,
    expected: Option<usize>,
    holder: &Holder,
) -> bool {
    while !chunk.is_empty() {
        let rest = expected.map(|length| length.saturating_sub(buf.len()).max(chunk.len()));
        let size = buf.missing_segment(rest);
        if size > 0 {
            if !holder.try_reserve(ByteShare::Small, size) {
                return false;
            }
            buf.add_segment(size);
        }
        buf.copy_from(chunk);
    }
    true
}

/// Returns a stream of the bytes read so far and the rest of the body, which fails if the body has
/// not ended at `cut_at`.
///
/// The stream owns the connection, which is closed when the caller disconnects and the stream is
/// dropped.
fn stream_body(
    first: Vec<Bytes>,
    body: Incoming,
    connection: TargetConnection,
    cut_at: Instant,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send {
    let first = stream::iter(first.into_iter().map(Ok));
    let open = Some((body.into_data_stream(), connection));
    let rest = stream::unfold(open, move |open| async move {
        let (mut body, connection) = open?;
        match tokio::time::timeout_at(cut_at, body.next()).await {
            // A timeout alone does not end a body whose next bytes have always arrived.
            Ok(Some(Ok(chunk))) if Instant::now() < cut_at => {
                Some((Ok(chunk), Some((body, connection))))
            }
            Ok(Some(Err(error))) => Some((Err(io::Error::other(error)), None)),
            Ok(None) => None,
            Ok(Some(Ok(_))) | Err(_) => {
                let detail = "the response has not ended at the timeout of its route";
                Some((Err(io::Error::new(io::ErrorKind::TimedOut, detail)), None))
            }
        }
    });
    first.chain(rest)
}
