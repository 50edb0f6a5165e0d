//! HTTP client for backend servers; checks that each response belongs to its request.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use ibiscroft_core::Tick;
use ibiscroft_core::ids::RunId;
use ibiscroft_core::permits::ReportedState;
use ibiscroft_core::selection::{Candidate, InFlight};
use ibiscroft_wire::{ErrorKind, headers};
use reqwest::{Client, Response};
use tokio::time::Instant;

use crate::connect_guard::GuardLayer;
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
/// Idle connections that one traffic thread keeps to one target.
///
/// With 18 gateways of two traffic threads each, and one liveness connection per gateway, the idle
/// connections stay below the limit of a target that allows 200 connections.
pub(crate) const MAX_IDLE: usize = 4;

/// Clients for backend servers: one reuses connections, the other opens one for each request.
#[derive(Clone, Debug)]
pub(crate) struct BackendClient {
    pooled: Client,
    fresh: Client,
}

/// The head of a backend server's response; the body has not been read yet.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    status: StatusCode,
    headers: HeaderMap,
    body: Option<Response>,
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
            Some(res) => {
                let length = res.content_length();
                let body = counted_in_flight(res.bytes_stream(), in_flight);
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
    ///
    /// # Errors
    ///
    /// Returns the HTTP library's error if a client cannot be created.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self { pooled: client(MAX_IDLE)?, fresh: client(0)? })
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
        let url = format!("http://{}{}", candidate.target.address, ex.path_and_query);
        let request = client
            .request(ex.method.clone(), url)
            .headers(request_headers(ex, time_left))
            .body(ex.body.clone())
            .build()
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        match tokio::time::timeout(time_left, client.execute(request)).await {
            Ok(Ok(res)) => check_response(ex, res),
            Ok(Err(error)) if error.is_connect() => Err(SendError::NotSent(error.to_string())),
            Ok(Err(error)) => Err(SendError::Unknown(ErrorKind::ConnectionLost, error.to_string())),
            Err(_) => {
                let detail = format!("no answer within {} ms", time_left.as_millis());
                let is_before_request_deadline = deadline < ex.deadline;
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

/// Creates a client that keeps up to `max_idle` idle connections to each target.
fn client(max_idle: usize) -> eyre::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .referer(false)
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(READ_TIMEOUT)
        .connector_layer(GuardLayer)
        .tcp_nodelay(true)
        .tcp_keepalive(IDLE_TIMEOUT)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build()
        .wrap_err("failed to create the HTTP client for backend servers")
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
fn check_response(ex: &Exchange, res: Response) -> Result<ResponseHead, SendError> {
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
    let is_empty = res.content_length() == Some(0) || ex.method == Method::HEAD;
    let body = if is_empty { None } else { Some(res) };
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
fn counted_in_flight(
    body: impl Stream<Item = reqwest::Result<Bytes>> + Send + Unpin + 'static,
    in_flight: InFlight,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold((body, in_flight), |(mut body, in_flight)| async move {
        let chunk = body.next().await?;
        Some((chunk.map_err(io::Error::other), (body, in_flight)))
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
