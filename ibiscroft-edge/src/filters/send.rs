//! One send of a request to a chosen target.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibiscroft_core::Tick;
use ibiscroft_core::ids::TargetName;

use super::identify::remove_hop_by_hop;
use super::select::Chosen;
use crate::dialect::{Dialect, Refusal};
use crate::exchange::Exchange;
use crate::link::{self, Link, LinkError};
use crate::reply::{Answer, AnswerBody};
use crate::shared::Shared;

/// Largest answer that is read whole before it is passed on, in bytes; up to here an answer that
/// breaks off can be fetched from another target without the caller noticing.
const WHOLE_LIMIT: usize = 1 << 20;

/// Why a send brought no answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// No byte of the request was handed to the connection.
    NotSent(String),
    /// The target said that it did not run the request.
    Refused(Refusal),
    /// The request may have run.
    Lost(String),
    /// No answer came before the deadline; the request may have run.
    TimedOut,
}

/// Sends a request and reads its answer until `deadline`.
pub(super) async fn send<D: Dialect>(
    shared: &Shared,
    ex: &Exchange,
    chosen: Chosen,
    deadline: Tick,
) -> Result<Answer, SendError> {
    let left = ex.deadline.since(shared.clock.now());
    let mut headers = ex.headers.clone();
    D::set_request_headers(&mut headers, left, &chosen.target.name);
    let req = link::request(ex.method.clone(), &ex.path_and_query, headers, ex.body.clone())
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    let Chosen { target, mut link, .. } = chosen;
    let exchange = async {
        let res = link.exchange(req).await.map_err(|error| match error {
            LinkError::NotSent(detail) => SendError::NotSent(detail),
            LinkError::Lost(detail) => SendError::Lost(detail),
        })?;
        let (head, body) = res.into_parts();
        let facts = D::parse_response(head.status, &head.headers, target.slots);
        if facts.request_id.as_deref().is_some_and(|id| id != ex.request_id.as_str()) {
            return Err(SendError::Lost("the answer belongs to another request".to_string()));
        }
        if let Some(report) = facts.report {
            let mut local = shared.local();
            let cost = report.cost(local.crowding(&ex.service));
            local.note_cost(shared.clock.now(), &target.name, cost);
        }
        if let Some(refusal) = facts.refusal {
            if body.collect().await.is_ok() {
                shared.pool.put(&target.name, link);
            }
            return Err(SendError::Refused(refusal));
        }
        if head.status.is_success() && !facts.is_sealed {
            return Err(SendError::Lost("a success without the target's seal".to_string()));
        }
        if promises_unrun(head.status) {
            let status = head.status.as_u16();
            return Err(SendError::Lost(format!("status {status} of a request that may have run")));
        }
        read_answer(shared, &target.name, link, head.status, head.headers, body).await
    };
    match tokio::time::timeout_at(shared.clock.instant(deadline), exchange).await {
        Ok(result) => result,
        Err(_) => Err(SendError::TimedOut),
    }
}

/// Returns whether callers take a status as the promise that the request has not run.
fn promises_unrun(status: StatusCode) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    promises.contains(&status)
}

/// Reads an answer whole if it is small enough.
async fn read_answer(
    shared: &Shared,
    target: &TargetName,
    link: Link,
    status: StatusCode,
    mut headers: HeaderMap,
    mut body: Incoming,
) -> Result<Answer, SendError> {
    remove_hop_by_hop(&mut headers);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| SendError::Lost(format!("answer body: {error}")))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        buf.extend_from_slice(&piece);
        if buf.len() > WHOLE_LIMIT {
            let body = AnswerBody::Stream(rest(buf.freeze(), body, link).boxed());
            return Ok(Answer { status, headers, body });
        }
    }
    shared.pool.put(target, link);
    Ok(Answer { status, headers, body: AnswerBody::Whole(buf.freeze()) })
}

/// Passes on what was read and what follows; the connection is closed when the caller leaves.
fn rest(
    first: Bytes,
    body: Incoming,
    link: Link,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send {
    let first = stream::once(async move { Ok(first) });
    let rest = body.into_data_stream().map(move |piece| {
        let _open = &link;
        piece.map_err(io::Error::other)
    });
    first.chain(rest)
}
