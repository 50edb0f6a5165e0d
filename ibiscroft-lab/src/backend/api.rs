//! Request listener of a backend server.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_listener::{Connection, close_on_error};
use ibiscroft_wire::headers;
use poem::http::{HeaderMap, StatusCode, header};
use poem::{Body, IntoEndpoint, Request, Response, endpoint};
use serde::Deserialize;
use tokio::time::Instant;

use super::control::ResponseFaults;
use super::executions::CALL_HEADER;
use super::pattern::Pattern;
use super::range::{ByteRange, RangeOutcome, requested_range};
use super::response_body::{self, BodyState};
use super::shared::Shared;
use super::work::{Refusal, RequestGuard, Slot};

/// Request header that makes the server crash when it runs the request.
const CRASH_HEADER: &str = "x-crash";
/// Response header with the number of bytes received in the request body.
const RECEIVED_BYTES_HEADER: &str = "x-received-bytes";

/// Length of a response body when the request sets none, in bytes.
const DEFAULT_BODY_BYTES: u64 = 64;

/// Query parameters of a request: its work and the shape of the response body.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct WorkQuery {
    work_ms: Option<f64>,
    bytes: Option<u64>,
    chunked: Option<u8>,
    block_delay_ms: Option<u64>,
}

/// Returns the endpoint that serves all paths.
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

/// Runs a request and drops it when the caller disconnects; poem itself would let it run on.
async fn run_while_connected(shared: Arc<Shared>, req: Request) -> poem::Result<Response> {
    let Some(connection) = shared.control.connections.for_request(&req) else {
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    tokio::select! {
        response = run(shared, connection.clone(), req) => response,
        () = connection.ended() => Ok(StatusCode::BAD_REQUEST.into()),
    }
}

/// Responds with the load of the server, which is at most [`BackendOptions::load_lag`] old.
///
/// [`BackendOptions::load_lag`]: super::BackendOptions::load_lag
fn load(shared: &Shared) -> Response {
    let now = shared.now();
    let mut inner = shared.lock();
    inner.polls.record_load_poll(now);
    let current = load_text(inner.running, shared.options.slots, inner.waiting);
    let lag = shared.options.load_lag;
    let is_fresh = inner.reported_load.as_ref().is_some_and(|(at, _)| now.since(*at) < lag);
    if !is_fresh {
        inner.reported_load = Some((now, current));
    }
    let text = inner.reported_load.as_ref().map(|(_, text)| text.clone()).unwrap_or_default();
    Response::builder().body(text)
}

fn health(shared: &Shared) -> Response {
    let now = shared.now();
    let mut inner = shared.lock();
    inner.polls.record_health_poll(now);
    let status = if inner.unhealthy { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    drop(inner);
    let mut response: Response = status.into();
    set_common_headers(shared, &mut response, None);
    response
}

async fn run(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    mut req: Request,
) -> poem::Result<Response> {
    let arrival = Instant::now();
    // Both directions of the zone delay are spent before the request takes a slot, so that it does
    // not occupy the slot during the return delay.
    sleep_until_if_future(arrival + 2 * shared.options.zone_delay).await;
    let guard = RequestGuard::new(shared.clone());
    let query = req.params::<WorkQuery>()?;
    let deadline = deadline(req.headers(), arrival);
    let request_id = text_header(req.headers(), headers::REQUEST_ID);
    let Ok(body) = req.take_body().into_bytes().await else {
        shared.lock().counts.cut_bodies += 1;
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    let mut slot = match Slot::acquire(&shared, deadline).await {
        Ok(slot) => slot,
        Err(refusal) => return Ok(not_run_response(&shared, request_id.as_deref(), refusal)),
    };
    record_execution(&shared, req.headers());
    if req.headers().contains_key(CRASH_HEADER) {
        shared.crash();
        return Ok(StatusCode::BAD_GATEWAY.into());
    }
    if !slot.work(requested_work(&shared, &query), deadline).await {
        return Ok(deadline_response(&shared, request_id.as_deref()));
    }
    let executed = ExecutedRequest { connection, guard, slot, request_id };
    let mut response = respond(&shared, executed, &req, &query).await;
    let received_bytes = body.len().into();
    response.headers_mut().insert(RECEIVED_BYTES_HEADER, received_bytes);
    Ok(response)
}

/// A request that was executed and awaits its response.
struct ExecutedRequest {
    connection: Arc<Connection>,
    guard: RequestGuard,
    slot: Slot,
    request_id: Option<String>,
}

/// Applies the faults that concern the connection or delay the response.
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
        shared.control.silenced.silence(*peer);
    }
    if faults.first_byte_delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.first_byte_delay_ms)).await;
    }
}

/// Builds the response to an executed request, with the faults for the next response.
async fn respond(
    shared: &Arc<Shared>,
    executed: ExecutedRequest,
    req: &Request,
    query: &WorkQuery,
) -> Response {
    let ExecutedRequest { connection, guard, slot, request_id } = executed;
    let faults = shared.lock().take_faults();
    apply_faults(shared, &faults, &connection, req).await;
    let path = if faults.crossed { "/crossed" } else { req.uri().path() };
    let request_id = if faults.crossed { Some("crossed".to_string()) } else { request_id };
    let pattern = Pattern::new(path, query.bytes.unwrap_or(DEFAULT_BODY_BYTES));
    let etag = entity_tag(shared, &pattern);
    let range = text_header(req.headers(), header::RANGE.as_str());
    let if_range = text_header(req.headers(), header::IF_RANGE.as_str());
    let outcome = requested_range(range.as_deref(), if_range.as_deref(), &etag, pattern.length());
    let mut response = Response::default();
    set_common_headers(shared, &mut response, request_id.as_deref());
    let Some(range) = apply_range(outcome, &pattern, &mut response) else {
        return response;
    };
    set_header(&mut response, header::ETAG.as_str(), &etag);
    set_header(&mut response, header::ACCEPT_RANGES.as_str(), "bytes");
    set_header(&mut response, header::CONTENT_TYPE.as_str(), "application/octet-stream");
    if query.chunked.is_none() {
        set_header(
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
        _request: guard,
        connection,
        slot,
        pattern,
        range,
        faults,
        block_delay,
    };
    let body = close_on_error(response_body::body_stream(state), body_connection);
    response.set_body(Body::from_bytes_stream(body));
    response
}

/// Sets the status and `Content-Range` of the response, and returns the bytes to send; `None` for
/// an unsatisfiable range.
fn apply_range(
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
            set_header(response, header::CONTENT_RANGE.as_str(), &text);
            Some(range)
        }
        RangeOutcome::Unsatisfiable => {
            response.set_status(StatusCode::RANGE_NOT_SATISFIABLE);
            set_header(response, header::CONTENT_RANGE.as_str(), &format!("bytes */{length}"));
            None
        }
    }
}

/// Returns the entity tag of a resource, or of this run if each run has its own.
fn entity_tag(shared: &Shared, pattern: &Pattern) -> String {
    let inner = shared.lock();
    if inner.own_validator { format!("\"{}\"", inner.run_id) } else { pattern.etag() }
}

fn record_execution(shared: &Shared, headers: &HeaderMap) {
    let key = text_header(headers, headers::IDEMPOTENCY_KEY);
    let call = text_header(headers, CALL_HEADER);
    shared.lock().record_execution(key, call);
}

fn not_run_response(shared: &Shared, request_id: Option<&str>, refusal: Refusal) -> Response {
    let mut response = Response::default();
    response.set_status(StatusCode::SERVICE_UNAVAILABLE);
    set_common_headers(shared, &mut response, request_id);
    set_header(&mut response, headers::EXECUTION, "not_run");
    log::debug!("request refused without running: {refusal:?}");
    response
}

fn deadline_response(shared: &Shared, request_id: Option<&str>) -> Response {
    let mut response = Response::default();
    response.set_status(StatusCode::GATEWAY_TIMEOUT);
    set_common_headers(shared, &mut response, request_id);
    set_header(&mut response, headers::EXECUTION, "unknown");
    response
}

/// Sets the headers that every response carries.
fn set_common_headers(shared: &Shared, response: &mut Response, request_id: Option<&str>) {
    let now: Tick = shared.now();
    let mut inner = shared.lock();
    let state = inner.announced_state(now);
    let load = load_text(inner.running, shared.options.slots, inner.waiting);
    let run_id = inner.run_id.clone();
    drop(inner);
    if let Some(id) = request_id {
        set_header(response, headers::REQUEST_ID, id);
    }
    set_header(response, headers::RUN_ID, &run_id);
    set_header(response, headers::LOAD, &load);
    set_header(response, headers::TARGET_STATE, state);
}

/// Formats a load as `RUNNING/SLOTS/WAITING`.
fn load_text(running: usize, slots: usize, waiting: usize) -> String {
    format!("{running}/{slots}/{waiting}")
}

fn requested_work(shared: &Shared, query: &WorkQuery) -> Duration {
    match query.work_ms {
        Some(millis) => Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default(),
        None => shared.options.default_work,
    }
}

/// Returns the deadline of a request that sets one, counted from its arrival.
fn deadline(headers: &HeaderMap, arrival: Instant) -> Option<Instant> {
    let millis: u64 = text_header(headers, headers::DEADLINE_MS)?.parse().ok()?;
    Some(arrival + Duration::from_millis(millis))
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}

/// Sets a header; a value that a header cannot hold is left out.
fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

async fn sleep_until_if_future(at: Instant) {
    if at > Instant::now() {
        tokio::time::sleep_until(at).await;
    }
}
