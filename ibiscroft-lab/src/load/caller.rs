//! Sends calls and checks their responses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use futures_util::StreamExt;
use ibiscroft_wire::headers;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};

use super::mix::CallKind;
use super::options::LoadOptions;
use super::outcome::Outcome;
use super::plan::PlannedCall;
use super::records::CallRecord;
use crate::backend::{CALL_HEADER, Pattern};

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Caller that sends calls over pooled connections.
#[derive(Debug)]
pub(super) struct Caller {
    options: Arc<LoadOptions>,
    client: Client,
}

impl Caller {
    pub(super) fn new(options: Arc<LoadOptions>) -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .wrap_err("cannot build the HTTP client of the load generator")?;
        Ok(Self { options, client })
    }

    /// Sends a call and waits for the end of its response.
    pub(super) async fn call(&self, call: &PlannedCall, started: Instant) -> CallRecord {
        let due = started + call.at;
        let sent = Instant::now();
        let id = self.options.call_id(call.number);
        let outcome = tokio::time::timeout(self.options.timeout, self.outcome(call, &id)).await;
        CallRecord {
            number: call.number,
            kind: call.kind,
            at: call.at,
            sent_late: sent.saturating_duration_since(due),
            latency: due.elapsed(),
            outcome: outcome.unwrap_or(Outcome::TimedOut),
        }
    }

    async fn outcome(&self, call: &PlannedCall, id: &str) -> Outcome {
        let kind = &self.options.mix[call.kind];
        match self.request(call, kind, id).send().await {
            Ok(response) => classify(response, kind, id).await,
            Err(error) if error.is_connect() => Outcome::Unreached,
            Err(_) => Outcome::CutOff,
        }
    }

    fn request(&self, call: &PlannedCall, kind: &CallKind, id: &str) -> RequestBuilder {
        let index = usize::try_from(call.number).unwrap_or(0) % self.options.addresses.len();
        let address = self.options.addresses[index];
        let work = format!("{:.3}", call.work_ms);
        let url = format!("http://{address}{}?bytes={}&work_ms={work}", kind.path, kind.bytes);
        let method = kind.method.parse().unwrap_or(Method::GET);
        let mut request = self
            .client
            .request(method, url)
            .header(headers::REQUEST_ID, id)
            .header(CALL_HEADER, id);
        if let Some(host) = &kind.host {
            request = request.header("host", host);
        }
        if kind.at_most_once {
            request = request.header(headers::IDEMPOTENCY_KEY, id);
        }
        if kind.body_bytes > 0 {
            request = request.body(vec![b'x'; kind.body_bytes]);
        }
        request
    }
}

/// Returns the outcome of a response, after its whole body was read.
async fn classify(response: Response, kind: &CallKind, id: &str) -> Outcome {
    let status = response.status();
    let execution = header(&response, headers::EXECUTION);
    let id_matches = header(&response, headers::REQUEST_ID).is_none_or(|value| value == id);
    let body_matches = match read_body(response, kind).await {
        Ok(body_matches) => body_matches,
        Err(_) => return Outcome::CutOff,
    };
    if !id_matches {
        return Outcome::WrongBytes;
    }
    match (status, execution.as_deref()) {
        (StatusCode::OK, _) if body_matches => Outcome::Answered,
        (StatusCode::OK, _) => Outcome::WrongBytes,
        (_, Some("not_run")) => Outcome::NotRun,
        (_, Some("unknown" | "ran")) => Outcome::Unknown,
        _ => Outcome::Unexpected,
    }
}

/// Reads the body and returns whether it matches the expected content.
async fn read_body(response: Response, kind: &CallKind) -> reqwest::Result<bool> {
    let pattern = Pattern::new(&kind.path, kind.bytes);
    let mut body = response.bytes_stream();
    let mut at = 0;
    let mut matches = true;
    while let Some(block) = body.next().await {
        let block = block?;
        matches = matches && pattern.matches(at, &block);
        at += block.len() as u64;
    }
    Ok(matches && at == pattern.length())
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.headers().get(name)?.to_str().ok().map(str::to_string)
}
