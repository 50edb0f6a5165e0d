//! Sends one call and checks its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use futures_util::StreamExt;
use ibiscroft_wire::headers;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};

use super::mix::CallKind;
use super::options::LoadOptions;
use super::outcome::Outcome;
use super::plan::Planned;
use super::records::CallRecord;
use crate::backend::{CALL_HEADER, Pattern};

/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends calls over pooled connections.
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
            .wrap_err("HTTP client of the load tool")?;
        Ok(Self { options, client })
    }

    /// Sends a call and waits for its whole answer.
    pub(super) async fn call(&self, call: &Planned, started: Instant) -> CallRecord {
        let planned = started + call.at;
        let sent = Instant::now();
        let name = self.options.call_name(call.number);
        let outcome = tokio::time::timeout(self.options.timeout, self.outcome(call, &name)).await;
        CallRecord {
            number: call.number,
            kind: call.kind,
            at: call.at,
            sent_late: sent.saturating_duration_since(planned),
            latency: planned.elapsed(),
            outcome: outcome.unwrap_or(Outcome::TimedOut),
        }
    }

    async fn outcome(&self, call: &Planned, name: &str) -> Outcome {
        let kind = &self.options.mix[call.kind];
        match self.request(call, kind, name).send().await {
            Ok(response) => check(response, kind, name).await,
            Err(error) if error.is_connect() => Outcome::Unreached,
            Err(_) => Outcome::CutOff,
        }
    }

    fn request(&self, call: &Planned, kind: &CallKind, name: &str) -> RequestBuilder {
        let index = usize::try_from(call.number).unwrap_or(0) % self.options.entries.len();
        let entry = self.options.entries[index];
        let work = format!("{:.3}", call.work_ms);
        let url = format!("http://{entry}{}?bytes={}&work_ms={work}", kind.path, kind.bytes);
        let method = kind.method.parse().unwrap_or(Method::GET);
        let mut request = self
            .client
            .request(method, url)
            .header(headers::REQUEST_ID, name)
            .header(CALL_HEADER, name);
        if let Some(host) = &kind.host {
            request = request.header("host", host);
        }
        if kind.at_most_once {
            request = request.header(headers::IDEMPOTENCY_KEY, name);
        }
        if kind.body_bytes > 0 {
            request = request.body(vec![b'x'; kind.body_bytes]);
        }
        request
    }
}

/// Returns what an answer means, after its whole body was read.
async fn check(response: Response, kind: &CallKind, name: &str) -> Outcome {
    let status = response.status();
    let execution = header(&response, headers::EXECUTION);
    let is_own = header(&response, headers::REQUEST_ID).is_none_or(|id| id == name);
    let is_right = match read_body(response, kind).await {
        Ok(is_right) => is_right,
        Err(_) => return Outcome::CutOff,
    };
    if !is_own {
        return Outcome::WrongBytes;
    }
    match (status, execution.as_deref()) {
        (StatusCode::OK, _) if is_right => Outcome::Answered,
        (StatusCode::OK, _) => Outcome::WrongBytes,
        (_, Some("not_run")) => Outcome::NotRun,
        (_, Some("unknown" | "ran")) => Outcome::Unknown,
        _ => Outcome::Unexpected,
    }
}

/// Reads the body, and returns whether it is exactly the expected one.
async fn read_body(response: Response, kind: &CallKind) -> reqwest::Result<bool> {
    let pattern = Pattern::new(&kind.path, kind.bytes);
    let mut body = response.bytes_stream();
    let mut at = 0;
    let mut is_right = true;
    while let Some(block) = body.next().await {
        let block = block?;
        is_right = is_right && pattern.matches(at, &block);
        at += block.len() as u64;
    }
    Ok(is_right && at == pattern.length())
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.headers().get(name)?.to_str().ok().map(str::to_string)
}
