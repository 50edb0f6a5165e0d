//! Requests of callers.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_listener::{Connection, close_on_error};
use ibiscroft_wire::headers;
use poem::http::{HeaderMap, StatusCode, header};
use poem::{Body, IntoEndpoint, Request, Response, endpoint};
use serde::Deserialize;
use tokio::time::Instant;

use super::answer::{self, BodyState};
use super::control::ResponseFaults;
use super::executions::CALL_HEADER;
use super::pattern::Pattern;
use super::range::{ByteRange, RangeOutcome, requested_range};
use super::shared::Shared;
use super::work::{Received, Refusal, Slot};

/// Header that makes a request crash the server that runs it.
const CRASH_HEADER: &str = "x-crash";
/// Header with the number of body bytes that arrived.
const RECEIVED_BYTES_HEADER: &str = "x-received-bytes";

/// Bytes of an answer when the request names no number.
const DEFAULT_BYTES: u64 = 64;

/// What a request asks the server to do.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct WorkQuery {
    work_ms: Option<f64>,
    bytes: Option<u64>,
    chunked: Option<u8>,
    block_delay_ms: Option<u64>,
}

/// Returns the endpoint of all paths.
pub(super) fn endpoint(shared: Arc<Shared>) -> impl IntoEndpoint<Endpoint: 'static> {
    endpoint::make(move |req| serve(shared.clone(), req))
}

async fn serve(shared: Arc<Shared>, req: Request) -> poem::Result<Response> {
    match req.uri().path() {
        "/load" => Ok(load(&shared)),
        "/health" => Ok(health(&shared)),
        _ => run_while_connected(shared, req).await,
    }
}

/// Runs a request and drops it when its caller leaves; poem itself would let it run on.
async fn run_while_connected(shared: Arc<Shared>, req: Request) -> poem::Result<Response> {
    let Some(connection) = shared.control.connections.for_request(&req) else {
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    tokio::select! {
        response = run(shared, connection.clone(), req) => response,
        () = connection.ended() => Ok(StatusCode::BAD_REQUEST.into()),
    }
}

fn load(shared: &Shared) -> Response {
    let now = shared.now();
    let mut inner = shared.lock();
    inner.polls.on_load(now);
    let present = load_text(inner.running, shared.options.slots, inner.waiting);
    let lag = shared.options.load_lag;
    let is_fresh = inner.reported_load.as_ref().is_some_and(|(at, _)| now.since(*at) < lag);
    if !is_fresh {
        inner.reported_load = Some((now, present));
    }
    let text = inner.reported_load.as_ref().map(|(_, text)| text.clone()).unwrap_or_default();
    Response::builder().body(text)
}

fn health(shared: &Shared) -> Response {
    let now = shared.now();
    let mut inner = shared.lock();
    inner.polls.on_health(now);
    let status = if inner.unhealthy { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    drop(inner);
    let mut response: Response = status.into();
    mark(shared, &mut response, None);
    response
}

async fn run(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    mut req: Request,
) -> poem::Result<Response> {
    let arrival = Instant::now();
    // Both ways of the delay come first, so that no slot is held on the way back.
    sleep_until_if_later(arrival + 2 * shared.options.zone_delay).await;
    let received = Received::new(shared.clone());
    let query = req.params::<WorkQuery>()?;
    let deadline = deadline(req.headers(), arrival);
    let request_id = text_header(req.headers(), headers::REQUEST_ID);
    let Ok(body) = req.take_body().into_bytes().await else {
        shared.lock().counts.cut_bodies += 1;
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    let mut slot = match Slot::acquire(&shared, deadline).await {
        Ok(slot) => slot,
        Err(refusal) => return Ok(refused(&shared, request_id.as_deref(), refusal)),
    };
    record_run(&shared, req.headers());
    if req.headers().contains_key(CRASH_HEADER) {
        shared.crash();
        return Ok(StatusCode::BAD_GATEWAY.into());
    }
    if !slot.work(work(&shared, &query), deadline).await {
        return Ok(expired(&shared, request_id.as_deref()));
    }
    let accepted = Accepted { connection, received, slot, request_id };
    let mut response = whole_answer(&shared, accepted, &req, &query).await;
    let received_bytes = body.len().into();
    response.headers_mut().insert(RECEIVED_BYTES_HEADER, received_bytes);
    Ok(response)
}

/// A request that ran and is to be answered.
struct Accepted {
    connection: Arc<Connection>,
    received: Received,
    slot: Slot,
    request_id: Option<String>,
}

/// Applies the faults that concern the connection or the time of the answer.
async fn apply_faults(
    shared: &Shared,
    faults: &ResponseFaults,
    connection: &Connection,
    req: &Request,
) {
    if faults.lose_answer {
        connection.close();
    }
    if faults.silent
        && let Some(peer) = req.remote_addr().as_socket_addr()
    {
        shared.control.silences.silence(*peer);
    }
    if faults.first_byte_delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.first_byte_delay_ms)).await;
    }
}

async fn whole_answer(
    shared: &Arc<Shared>,
    accepted: Accepted,
    req: &Request,
    query: &WorkQuery,
) -> Response {
    let Accepted { connection, received, slot, request_id } = accepted;
    let faults = shared.lock().take_faults();
    apply_faults(shared, &faults, &connection, req).await;
    let path = if faults.crossed { "/crossed" } else { req.uri().path() };
    let request_id = if faults.crossed { Some("crossed".to_string()) } else { request_id };
    let pattern = Pattern::new(path, query.bytes.unwrap_or(DEFAULT_BYTES));
    let etag = validator(shared, &pattern);
    let range = text_header(req.headers(), header::RANGE.as_str());
    let if_range = text_header(req.headers(), header::IF_RANGE.as_str());
    let outcome = requested_range(range.as_deref(), if_range.as_deref(), &etag, pattern.length());
    let mut response = Response::default();
    mark(shared, &mut response, request_id.as_deref());
    let Some(range) = answered_range(outcome, &pattern, &mut response) else {
        return response;
    };
    insert(&mut response, header::ETAG.as_str(), &etag);
    insert(&mut response, header::ACCEPT_RANGES.as_str(), "bytes");
    insert(&mut response, header::CONTENT_TYPE.as_str(), "application/octet-stream");
    if query.chunked.is_none() {
        insert(
            &mut response,
            header::CONTENT_LENGTH.as_str(),
            &(range.end - range.start).to_string(),
        );
    }
    let block_delay = Duration::from_millis(query.block_delay_ms.unwrap_or(0));
    let shared = shared.clone();
    let body_connection = connection.clone();
    let state = BodyState {
        shared,
        _received: received,
        connection,
        slot,
        pattern,
        range,
        faults,
        block_delay,
    };
    let body = close_on_error(answer::body(state), body_connection);
    response.set_body(Body::from_bytes_stream(body));
    response
}

/// Sets the status for the range and returns the bytes to send; `None` when there are none.
fn answered_range(
    outcome: RangeOutcome,
    pattern: &Pattern,
    response: &mut Response,
) -> Option<ByteRange> {
    let length = pattern.length();
    match outcome {
        RangeOutcome::Whole => Some(ByteRange { start: 0, end: length }),
        RangeOutcome::Part(range) => {
            response.set_status(StatusCode::PARTIAL_CONTENT);
            let text = format!("bytes {}-{}/{length}", range.start, range.end - 1);
            insert(response, header::CONTENT_RANGE.as_str(), &text);
            Some(range)
        }
        RangeOutcome::Unsatisfiable => {
            response.set_status(StatusCode::RANGE_NOT_SATISFIABLE);
            insert(response, header::CONTENT_RANGE.as_str(), &format!("bytes */{length}"));
            None
        }
    }
}

fn validator(shared: &Shared, pattern: &Pattern) -> String {
    let inner = shared.lock();
    if inner.own_validator { format!("\"{}\"", inner.run_id) } else { pattern.etag() }
}

fn record_run(shared: &Shared, headers: &HeaderMap) {
    let key = text_header(headers, headers::IDEMPOTENCY_KEY);
    let call = text_header(headers, CALL_HEADER);
    shared.lock().record_run(key, call);
}

fn refused(shared: &Shared, request_id: Option<&str>, refusal: Refusal) -> Response {
    let mut response = Response::default();
    response.set_status(StatusCode::SERVICE_UNAVAILABLE);
    mark(shared, &mut response, request_id);
    insert(&mut response, headers::EXECUTION, "not_run");
    log::debug!("refused: {refusal:?}");
    response
}

fn expired(shared: &Shared, request_id: Option<&str>) -> Response {
    let mut response = Response::default();
    response.set_status(StatusCode::GATEWAY_TIMEOUT);
    mark(shared, &mut response, request_id);
    insert(&mut response, headers::EXECUTION, "unknown");
    response
}

/// Sets the headers that every answer carries.
fn mark(shared: &Shared, response: &mut Response, request_id: Option<&str>) {
    let now: Tick = shared.now();
    let mut inner = shared.lock();
    let state = inner.state(now);
    let load = load_text(inner.running, shared.options.slots, inner.waiting);
    let run_id = inner.run_id.clone();
    drop(inner);
    if let Some(id) = request_id {
        insert(response, headers::REQUEST_ID, id);
    }
    insert(response, headers::RUN_ID, &run_id);
    insert(response, headers::LOAD, &load);
    insert(response, headers::TARGET_STATE, state);
}

fn load_text(running: usize, slots: usize, waiting: usize) -> String {
    format!("{running}/{slots}/{waiting}")
}

fn work(shared: &Shared, query: &WorkQuery) -> Duration {
    match query.work_ms {
        Some(millis) => Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default(),
        None => shared.options.default_work,
    }
}

fn deadline(headers: &HeaderMap, arrival: Instant) -> Option<Instant> {
    let millis: u64 = text_header(headers, headers::DEADLINE_MS)?.parse().ok()?;
    Some(arrival + Duration::from_millis(millis))
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}

fn insert(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

async fn sleep_until_if_later(at: Instant) {
    if at > Instant::now() {
        tokio::time::sleep_until(at).await;
    }
}
