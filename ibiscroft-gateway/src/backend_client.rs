//! HTTP client for backend servers; checks that each response belongs to its request.

use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use ibiscroft_core::Tick;
use ibiscroft_core::ids::RunId;
use ibiscroft_core::permits::ReportedState;
use ibiscroft_core::selection::{Candidate, InFlight};
use ibiscroft_wire::{ErrorKind, headers};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connect_guard::GuardedConnect;
use crate::exchange::{BackendResponse, BodyStream, Exchange, ResponseBody};
use crate::filters::identify::remove_hop_by_hop;
use crate::permits::{PermitUse, RunReport};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the head of a response, and then for each further chunk of its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that sent bytes may stay unacknowledged before the kernel closes the connection
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept open; also the idle time before TCP keep-alive probes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head of a response, and read buffer of a connection, in bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Interim responses after which a response counts as lost; servers send one or two.
const MAX_INTERIM_RESPONSES: usize = 64;
/// Idle connections that one traffic thread keeps to one target.
///
/// With 18 gateways of two traffic threads each, and one liveness connection per gateway, the idle
/// connections stay below the limit of a target that allows 200 connections.
pub(crate) const MAX_IDLE: usize = 4;

/// Clients for backend servers: one reuses connections, the other opens one for each request.
#[derive(Clone, Debug)]
pub(crate) struct BackendClient {
    pooled: HttpClient,
    fresh: HttpClient,
}

type HttpClient = Client<GuardedConnect<HttpConnector>, Full<Bytes>>;

/// The head of a backend server's response; the body has not been read yet.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    status: StatusCode,
    headers: HeaderMap,
    body: Option<Incoming>,
    /// Set if the response reports that its run drains; the id is empty if it names no run.
    pub(crate) draining: Option<RunId>,
    /// Run and state that the response reports.
    pub(crate) report: RunReport,
}

impl ResponseHead {
    /// Returns the response; `in_flight` and the use of a permit end when its body ends.
    pub(crate) fn into_response(
        self,
        in_flight: InFlight,
        permit: Option<ColdPermitUse>,
    ) -> BackendResponse {
        let body = match self.body {
            None => {
                if let Some(permit) = permit {
                    permit.permit_use.end_served(self.report);
                }
                ResponseBody::Whole(Bytes::new())
            }
            Some(body) => {
                let length = body.size_hint().exact();
                let body = counted_in_flight(BodyDataStream::new(body), in_flight);
                match permit {
                    None => ResponseBody::Stream(Box::pin(body)),
                    Some(permit) => {
                        let body = limited_by_permit(Box::pin(body), length, permit, self.report);
                        ResponseBody::Stream(Box::pin(body))
                    }
                }
            }
        };
        BackendResponse { status: self.status, headers: self.headers, body }
    }
}

/// Why an attempt got no usable response from a target.
#[derive(Clone, Debug)]
pub(crate) enum SendError {
    /// No byte of the request was handed to a connection.
    NotSent(String),
    /// The target rejected the request without running it.
    Shed {
        /// Set if the response reports that its run drains; the id is empty if it names no run.
        draining: Option<RunId>,
        /// Run and state that the response reports.
        report: RunReport,
    },
    /// The request may have run.
    Unknown(ErrorKind, String),
}

impl BackendClient {
    /// Creates both clients.
    pub(crate) fn new() -> Self {
        Self { pooled: client(MAX_IDLE), fresh: client(0) }
    }

    /// Sends the request to one target and waits for the head of the response until `deadline`.
    ///
    /// If `deadline` is earlier than that of the request, passing it counts as a lost connection,
    /// and the rest of the time can be used for a retry.
    ///
    /// # Errors
    ///
    /// Returns an error that distinguishes requests that did not run from those that may have run.
    pub(crate) async fn send(
        &self,
        ex: &Exchange,
        candidate: &Candidate,
        deadline: Tick,
        now: Tick,
    ) -> Result<ResponseHead, SendError> {
        let time_left = deadline.since(now);
        let client = if ex.is_at_most_once() { &self.fresh } else { &self.pooled };
        let uri = format!("http://{}{}", candidate.target.address, ex.path_and_query);
        let mut request = Request::builder()
            .method(ex.method.clone())
            .uri(uri)
            .body(Full::new(ex.body.clone()))
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        *request.headers_mut() = request_headers(ex, time_left);
        let too_many_interim = limit_interim_responses(&mut request);
        let head_timeout = time_left.min(READ_TIMEOUT);
        let sent = tokio::select! {
            sent = tokio::time::timeout(head_timeout, client.request(request)) => sent,
            () = too_many_interim.notified() => {
                let detail = format!("no final response after {MAX_INTERIM_RESPONSES} interim ones");
                return Err(SendError::Unknown(ErrorKind::ConnectionLost, detail));
            }
        };
        match sent {
            Ok(Ok(res)) => check_response(ex, res),
            Ok(Err(error)) if error.is_connect() => Err(SendError::NotSent(describe(&error))),
            Ok(Err(error)) => Err(SendError::Unknown(ErrorKind::ConnectionLost, describe(&error))),
            Err(_) => {
                let detail = format!("no answer within {} ms", head_timeout.as_millis());
                let is_before_request_deadline = head_timeout < time_left || deadline < ex.deadline;
                let kind = if is_before_request_deadline {
                    ErrorKind::ConnectionLost
                } else {
                    ErrorKind::AnswerTimeout
                };
                Err(SendError::Unknown(kind, detail))
            }
        }
    }
}

/// Returns what is notified when the response to `request` has too many interim responses.
///
/// The HTTP client limits the size of a single head, but not the number of interim responses.
fn limit_interim_responses(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let notify = Arc::clone(&too_many);
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) + 1 == MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    too_many
}

/// Returns the description of an error with its cause.
fn describe(error: &Error) -> String {
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

/// Creates a client that keeps up to `max_idle` idle connections to each target.
fn client(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(IDLE_TIMEOUT));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(GuardedConnect::new(connector))
}

/// Returns the headers for the target: those of the caller, with the gateway's deadline, call depth
/// and request id.
fn request_headers(ex: &Exchange, time_left: Duration) -> HeaderMap {
    let mut headers = ex.headers.clone();
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(headers::DEADLINE_MS, number_value(time_left.as_millis()));
    headers.insert(headers::CALL_DEPTH, number_value(u128::from(ex.depth.get())));
    if let Ok(value) = HeaderValue::from_str(ex.request_id.as_str()) {
        headers.insert(headers::REQUEST_ID, value);
    }
    headers
}

fn number_value(value: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(value).unwrap_or(u64::MAX))
}

/// Returns the head of a response, or an error if the response has a status that no final response
/// can have, belongs to another request, or reports that the target rejected the request or dropped
/// it at its deadline.
fn check_response(ex: &Exchange, res: Response<Incoming>) -> Result<ResponseHead, SendError> {
    let status = res.status();
    // The HTTP client accepts all codes from 100 to 999, and 101 as that of a final response.
    if !(200..600).contains(&status.as_u16()) {
        let detail = format!("a final response with the status {}", status.as_str());
        return Err(SendError::Unknown(ErrorKind::ConnectionLost, detail));
    }
    let mut headers = res.headers().clone();
    let is_draining = header_text(&headers, headers::TARGET_STATE) == Some("draining");
    let run = header_text(&headers, headers::RUN_ID).unwrap_or_default();
    let draining = is_draining.then(|| RunId::new(run));
    let echoed_id = header_text(&headers, headers::REQUEST_ID);
    if echoed_id.is_some_and(|id| id != ex.request_id.as_str()) {
        let detail = "the answer carries another request's id";
        return Err(SendError::Unknown(ErrorKind::AnswerMismatch, detail.to_string()));
    }
    let report = run_report(&headers);
    let not_run = header_text(&headers, headers::EXECUTION) == Some("not_run");
    if status == StatusCode::SERVICE_UNAVAILABLE && not_run {
        return Err(SendError::Shed { draining, report });
    }
    if header_text(&headers, headers::EXECUTION) == Some("unknown") {
        let detail = "the backend server dropped the request at its deadline";
        return Err(SendError::Unknown(ErrorKind::AnswerTimeout, detail.to_string()));
    }
    remove_hop_by_hop(&mut headers);
    let is_empty = res.body().size_hint().exact() == Some(0) || ex.method == Method::HEAD;
    let body = if is_empty { None } else { Some(res.into_body()) };
    Ok(ResponseHead { status, headers, body, draining, report })
}

/// The use of a cold target's permit by a request whose response body is being read.
#[derive(Debug)]
pub(crate) struct ColdPermitUse {
    /// The permit in use.
    pub(crate) permit_use: PermitUse,
    /// When the lease holder counts the request as ended.
    pub(crate) ends_at: Instant,
}

/// Forwards the body of a response to a request under a permit, and reports the end of the
/// permit's use.
///
/// The lease holder counts the request as ended at its deadline, so the body ends there with an
/// error. After `length` bytes the HTTP server does not poll the stream again, so the chunk that
/// completes them also ends the use.
fn limited_by_permit(
    body: BodyStream,
    length: Option<u64>,
    permit: ColdPermitUse,
    report: RunReport,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let state = (body, length, Some((permit, report)));
    stream::unfold(state, |(mut body, bytes_left, state)| async move {
        let (permit, report) = state?;
        match tokio::time::timeout_at(permit.ends_at, body.next()).await {
            Ok(Some(Ok(chunk))) => {
                let bytes_left = bytes_left.map(|left| left.saturating_sub(chunk.len() as u64));
                if bytes_left == Some(0) {
                    permit.permit_use.end_served(report);
                    return Some((Ok(chunk), (body, bytes_left, None)));
                }
                Some((Ok(chunk), (body, bytes_left, Some((permit, report)))))
            }
            Ok(Some(Err(error))) => Some((Err(error), (body, bytes_left, None))),
            Ok(None) => {
                permit.permit_use.end_served(report);
                None
            }
            Err(_) => {
                let error = "response body of a cold target did not end before its deadline";
                let error = io::Error::new(io::ErrorKind::TimedOut, error);
                Some((Err(error), (body, bytes_left, None)))
            }
        }
    })
}

/// Reads the run and its state from the headers of a response.
fn run_report(headers: &HeaderMap) -> RunReport {
    let state = match header_text(headers, headers::TARGET_STATE) {
        Some("cold") => ReportedState::Cold,
        Some("warm") => ReportedState::Warm,
        _ => ReportedState::Unstated,
    };
    RunReport { run: header_text(headers, headers::RUN_ID).map(RunId::new), state }
}

/// Forwards a body; the request counts as in flight until the body ends or is dropped.
///
/// The body breaks off if its next chunk does not arrive within [`READ_TIMEOUT`].
fn counted_in_flight(
    body: impl Stream<Item = hyper::Result<Bytes>> + Send + Unpin + 'static,
    in_flight: InFlight,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold((body, in_flight), |(mut body, in_flight)| async move {
        let chunk = match tokio::time::timeout(READ_TIMEOUT, body.next()).await {
            Ok(chunk) => chunk?.map_err(io::Error::other),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        };
        Some((chunk, (body, in_flight)))
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
