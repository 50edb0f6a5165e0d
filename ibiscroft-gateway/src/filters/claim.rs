//! Lets requests that must run at most once pass only under a confirmed claim.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use ibiscroft_core::claims::{ClaimLimits, ClaimVerdict, Fingerprint, StoredResponse, TimedKey};
use ibiscroft_wire::generated::problem::Execution;
use ibiscroft_wire::{ErrorKind, headers};

use crate::claims::{ClaimRequest, ClaimsHandle, ConfirmedClaim, Decision, SentRequest};
use crate::exchange::{BackendResponse, BodyStream, Exchange, Failure, Reply, ResponseBody};
use crate::filters::{Filter, Handler};

/// Advice to callers when an order can't be claimed or still runs.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claims the key of each request that must run at most once.
#[derive(Debug)]
pub(crate) struct Claim {
    claims: ClaimsHandle,
    max_stored_body_bytes: usize,
}

impl Claim {
    /// Makes the filter.
    pub(crate) fn new(claims: ClaimsHandle, limits: &ClaimLimits) -> Self {
        Self { claims, max_stored_body_bytes: limits.max_stored_body_bytes }
    }

    /// Sends a claimed order on and records how it ended.
    async fn send<H: Handler>(&self, ex: &mut Exchange, claim: ConfirmedClaim, next: &H) -> Reply {
        let sent = claim.begin();
        match next.handle(ex).await {
            Ok(answer) => self.record(answer, sent).await,
            Err(failure) => {
                match failure.kind.response().execution {
                    Execution::NotRun => sent.record_not_run(),
                    Execution::Unknown | Execution::Ran => sent.record_unknown(),
                }
                Err(failure)
            }
        }
    }

    /// Records an answer with its body when that is small, and returns it.
    async fn record(&self, mut answer: BackendResponse, sent: SentRequest) -> Reply {
        let body = match answer.body {
            ResponseBody::Whole(body) => Ok(Collected::Whole(body)),
            ResponseBody::Stream(body) => collect(body, self.max_stored_body_bytes).await,
        };
        let content_type = answer.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let mut kept = StoredResponse {
            status: answer.status.as_u16(),
            content_type: content_type.to_string(),
            body: None,
        };
        match body {
            Ok(Collected::Whole(body)) => {
                kept.body = Some(body.to_vec());
                sent.record_response(kept);
                answer.body = ResponseBody::Whole(body);
                Ok(answer)
            }
            Ok(Collected::Longer(body)) => {
                sent.record_response(kept);
                answer.body = ResponseBody::Stream(body);
                Ok(answer)
            }
            Err(error) => {
                sent.record_response(kept);
                let detail = format!("the answer broke off: {error}");
                Err(Failure::new(ErrorKind::ConnectionLost, detail))
            }
        }
    }
}

impl Filter for Claim {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        if !ex.is_at_most_once() {
            return next.handle(ex).await;
        }
        let request = order_request(ex)?;
        match self.claims.claim(request).await {
            Decision::Send(claim) => self.send(ex, claim, next).await,
            Decision::Respond(ClaimVerdict::Replay(kept)) => replay(kept, ex),
            Decision::Respond(verdict) => Err(refusal(&verdict)),
        }
    }
}

/// The beginning of a body, or all of it.
enum Collected {
    /// The body ended within the limit.
    Whole(Bytes),
    /// The body is longer; the stream yields all of it.
    Longer(BodyStream),
}

fn order_request(ex: &Exchange) -> Result<ClaimRequest, Failure> {
    let key = ex.key.as_ref().map_or("", |key| key.as_str());
    let key = key.parse::<TimedKey>().map_err(|fault| {
        Failure::new(ErrorKind::IdempotencyKeyMissing, format!("Idempotency-Key: {fault}"))
    })?;
    let fingerprint = Fingerprint::of(&[
        ex.service.service.name.as_str().as_bytes(),
        ex.method.as_str().as_bytes(),
        ex.path_and_query.as_bytes(),
        &ex.body,
    ]);
    Ok(ClaimRequest { key, fingerprint, deadline: ex.deadline })
}

/// Reads up to `limit` bytes of a body.
async fn collect(mut body: BodyStream, limit: usize) -> std::io::Result<Collected> {
    let mut buf = BytesMut::new();
    while let Some(piece) = body.next().await {
        buf.extend_from_slice(&piece?);
        if buf.len() > limit {
            let begun = stream::iter([Ok(buf.freeze())]);
            return Ok(Collected::Longer(Box::pin(begun.chain(body))));
        }
    }
    Ok(Collected::Whole(buf.freeze()))
}

/// Returns the kept answer of an earlier try.
fn replay(kept: StoredResponse, ex: &Exchange) -> Reply {
    let Some(body) = kept.body else {
        let detail = format!("an earlier try was answered with status {}", kept.status);
        return Err(Failure::new(ErrorKind::AlreadyRan, detail));
    };
    let mut fields = HeaderMap::new();
    fields.insert(headers::IDEMPOTENT_REPLAYED, HeaderValue::from_static("true"));
    fields.insert(headers::EXECUTION, HeaderValue::from_static("ran"));
    if let Ok(value) = HeaderValue::from_str(ex.request_id.as_str()) {
        fields.insert(headers::REQUEST_ID, value);
    }
    if let Some(value) = content_type(&kept.content_type) {
        fields.insert(header::CONTENT_TYPE, value);
    }
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    Ok(BackendResponse { status, headers: fields, body: ResponseBody::Whole(body.into()) })
}

fn content_type(text: &str) -> Option<HeaderValue> {
    if text.is_empty() { None } else { HeaderValue::from_str(text).ok() }
}

fn refusal(verdict: &ClaimVerdict) -> Failure {
    let (kind, detail) = match verdict {
        ClaimVerdict::Unknown => {
            (ErrorKind::OutcomeUnknown, "an earlier try with this key may have run")
        }
        ClaimVerdict::InProgress => {
            let detail = "an earlier try with this key has no outcome yet";
            return Failure::new(ErrorKind::InProgress, detail).retry_after(RETRY_AFTER);
        }
        ClaimVerdict::KeyReused => {
            (ErrorKind::IdempotencyKeyReused, "the key was used for another request")
        }
        ClaimVerdict::KeyExpired => {
            (ErrorKind::IdempotencyKeyExpired, "the time in the key is too long ago")
        }
        ClaimVerdict::KeyAhead => {
            (ErrorKind::IdempotencyKeyMissing, "the time in the key lies in the future")
        }
        ClaimVerdict::Unavailable => {
            let detail =
                "this try was not run, as its claim was not confirmed; keep the key for a resend";
            return Failure::new(ErrorKind::ClaimUnavailable, detail).retry_after(RETRY_AFTER);
        }
        ClaimVerdict::Proceed | ClaimVerdict::Replay(_) => {
            (ErrorKind::Internal, "the claim ended without a decision")
        }
    };
    Failure::new(kind, detail)
}
