//! Sends requests to backend servers and checks that answers belong to them.

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

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without progress in the middle of an answer.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that sent bytes stay unacknowledged before a connection is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections that one traffic thread keeps to one target: with 18 gateways of two threads
/// and their tripwires, a target with 200 connections has room for all of them.
const MAX_IDLE: usize = 4;

/// Clients for backend servers: one reuses connections, one never does.
#[derive(Clone, Debug)]
pub(crate) struct BackendClient {
    pooled: Client,
    fresh: Client,
}

/// The head of a backend server's answer, its body still to come.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    status: StatusCode,
    headers: HeaderMap,
    body: Option<Response>,
    /// The run that said that it drains; empty when it was not named.
    pub(crate) draining: Option<RunId>,
    /// What the answer said about its run.
    pub(crate) report: RunReport,
}

impl ResponseHead {
    /// Returns the answer; `in_flight` and the use of a permit end with its body.
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
                let body = counted(res.bytes_stream(), in_flight);
                match permit {
                    None => ResponseBody::Stream(Box::pin(body)),
                    Some(permit) => {
                        let body = limited(Box::pin(body), length, permit, self.report);
                        ResponseBody::Stream(Box::pin(body))
                    }
                }
            }
        };
        BackendResponse { status: self.status, headers: self.headers, body }
    }
}

/// Why a request got no answer from a target.
#[derive(Clone, Debug)]
pub(crate) enum SendError {
    /// No byte of the request was handed to a connection.
    NotSent(String),
    /// The target refused the request without running it.
    Shed {
        /// The run that said that it drains; empty when it was not named.
        draining: Option<RunId>,
        /// What the refusal said about the run.
        report: RunReport,
    },
    /// The request may have run.
    Unknown(ErrorKind, String),
}

impl BackendClient {
    /// Makes the clients.
    ///
    /// # Errors
    ///
    /// Returns why no client can be made.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self { pooled: client(MAX_IDLE)?, fresh: client(0)? })
    }

    /// Sends the request to one target; `deadline` is when its answer must have come.
    ///
    /// A deadline before that of the request gives up the connection, and time is left to try
    /// another target.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    pub(crate) async fn send(
        &self,
        ex: &Exchange,
        candidate: &Candidate,
        deadline: Tick,
        now: Tick,
    ) -> Result<ResponseHead, SendError> {
        let left = deadline.since(now);
        let client = if ex.is_at_most_once() { &self.fresh } else { &self.pooled };
        let url = format!("http://{}{}", candidate.target.address, ex.path_and_query);
        let request = client
            .request(ex.method.clone(), url)
            .headers(request_headers(ex, left))
            .body(ex.body.clone())
            .build()
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        match tokio::time::timeout(left, client.execute(request)).await {
            Ok(Ok(res)) => check_answer(ex, res),
            Ok(Err(error)) if error.is_connect() => Err(SendError::NotSent(error.to_string())),
            Ok(Err(error)) => Err(SendError::Unknown(ErrorKind::ConnectionLost, error.to_string())),
            Err(_) => {
                let detail = format!("no answer within {} ms", left.as_millis());
                let is_early = deadline < ex.deadline;
                let kind =
                    if is_early { ErrorKind::ConnectionLost } else { ErrorKind::AnswerTimeout };
                Err(SendError::Unknown(kind, detail))
            }
        }
    }
}

fn client(max_idle: usize) -> eyre::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .referer(false)
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(PROGRESS_TIMEOUT)
        .connector_layer(GuardLayer)
        .tcp_nodelay(true)
        .tcp_keepalive(IDLE_TIMEOUT)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build()
        .wrap_err("HTTP client for backend servers")
}

fn request_headers(ex: &Exchange, left: Duration) -> HeaderMap {
    let mut headers = ex.headers.clone();
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(headers::DEADLINE_MS, number(left.as_millis()));
    headers.insert(headers::CALL_DEPTH, number(u128::from(ex.depth.get())));
    if let Ok(value) = HeaderValue::from_str(ex.request_id.as_str()) {
        headers.insert(headers::REQUEST_ID, value);
    }
    headers
}

fn number(value: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(value).unwrap_or(u64::MAX))
}

fn check_answer(ex: &Exchange, res: Response) -> Result<ResponseHead, SendError> {
    let status = res.status();
    let mut headers = res.headers().clone();
    let is_draining = text(&headers, headers::TARGET_STATE) == Some("draining");
    let run = text(&headers, headers::RUN_ID).unwrap_or_default();
    let draining = is_draining.then(|| RunId::new(run));
    let echoed = text(&headers, headers::REQUEST_ID);
    if echoed.is_some_and(|found| found != ex.request_id.as_str()) {
        let detail = "the answer carries another request's id";
        return Err(SendError::Unknown(ErrorKind::AnswerMismatch, detail.to_string()));
    }
    let report = run_report(&headers);
    let refused = text(&headers, headers::EXECUTION) == Some("not_run");
    if status == StatusCode::SERVICE_UNAVAILABLE && refused {
        return Err(SendError::Shed { draining, report });
    }
    if text(&headers, headers::EXECUTION) == Some("unknown") {
        let detail = "the backend server dropped the request at its deadline";
        return Err(SendError::Unknown(ErrorKind::AnswerTimeout, detail.to_string()));
    }
    remove_hop_by_hop(&mut headers);
    let is_empty = res.content_length() == Some(0) || ex.method == Method::HEAD;
    let body = if is_empty { None } else { Some(res) };
    Ok(ResponseHead { status, headers, body, draining, report })
}

/// The use of a permit by a request whose answer arrives.
#[derive(Debug)]
pub(crate) struct ColdPermitUse {
    /// The permit in use.
    pub(crate) permit_use: PermitUse,
    /// When the request must have ended.
    pub(crate) ends_at: Instant,
}

/// Passes on the body of a request under a permit and ends the use of the permit.
///
/// The lease holder takes the request for ended at the deadline, so the body is cut off there.
/// A server does not ask for more once `length` bytes came, so the last piece is the end as well.
fn limited(
    body: BodyStream,
    length: Option<u64>,
    permit: ColdPermitUse,
    report: RunReport,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let state = (body, length, Some((permit, report)));
    stream::unfold(state, |(mut body, left, state)| async move {
        let (permit, report) = state?;
        match tokio::time::timeout_at(permit.ends_at, body.next()).await {
            Ok(Some(Ok(piece))) => {
                let left = left.map(|left| left.saturating_sub(piece.len() as u64));
                if left == Some(0) {
                    permit.permit_use.end_served(report);
                    return Some((Ok(piece), (body, left, None)));
                }
                Some((Ok(piece), (body, left, Some((permit, report)))))
            }
            Ok(Some(Err(error))) => Some((Err(error), (body, left, None))),
            Ok(None) => {
                permit.permit_use.end_served(report);
                None
            }
            Err(_) => {
                let error = "the answer of a target in cold start took too long";
                let error = io::Error::new(io::ErrorKind::TimedOut, error);
                Some((Err(error), (body, left, None)))
            }
        }
    })
}

/// Reads what an answer says about the run that gave it.
fn run_report(headers: &HeaderMap) -> RunReport {
    let state = match text(headers, headers::TARGET_STATE) {
        Some("cold") => ReportedState::Cold,
        Some("warm") => ReportedState::Warm,
        _ => ReportedState::Unstated,
    };
    RunReport { run: text(headers, headers::RUN_ID).map(RunId::new), state }
}

/// Passes on a body; the request counts as in flight until it ends.
fn counted(
    body: impl Stream<Item = reqwest::Result<Bytes>> + Send + Unpin + 'static,
    in_flight: InFlight,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold((body, in_flight), |(mut body, in_flight)| async move {
        let piece = body.next().await?;
        Some((piece.map_err(io::Error::other), (body, in_flight)))
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
