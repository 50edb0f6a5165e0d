//! Passes at-most-once requests on only under a confirmed claim.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use ibiscroft_core::claims::{ClaimLimits, ClaimVerdict, Fingerprint, StoredResponse, TimedKey};
use ibiscroft_wire::generated::problem::Execution;
use ibiscroft_wire::{ErrorKind, headers};

use crate::claims::{ClaimRequest, ClaimsHandle, ConfirmedClaim, Decision, SentRequest};
use crate::clock::Clock;
use crate::exchange::{BackendResponse, BodyStream, Exchange, Failure, Reply, ResponseBody};
use crate::filters::{Filter, Handler};

/// Retry delay for callers whose request cannot be claimed or still runs.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Filter that claims the idempotency key of each at-most-once request.
#[derive(Debug)]
pub(crate) struct Claim {
    clock: Clock,
    claims: ClaimsHandle,
    max_stored_body_bytes: usize,
}

impl Claim {
    /// Creates the filter.
    pub(crate) fn new(clock: Clock, claims: ClaimsHandle, limits: &ClaimLimits) -> Self {
        Self { clock, claims, max_stored_body_bytes: limits.max_stored_body_bytes }
    }

    /// Passes a claimed request on and records its outcome.
    async fn send_claimed<H: Handler>(
        &self,
        ex: &mut Exchange,
        claim: ConfirmedClaim,
        next: &H,
    ) -> Reply {
        let sent = claim.begin();
        match next.handle(ex).await {
            Ok(response) => self.record_response(ex, response, sent).await,
            Err(failure) => {
                match failure.kind.response().execution {
                    Execution::NotRun => sent.record_not_run(),
                    Execution::Unknown | Execution::Ran => sent.record_unknown(),
                }
                Err(failure)
            }
        }
    }

    /// Records a response, with its body if that is small enough, and returns the response.
    ///
    /// A body of which neither the end nor more than the stored part has arrived at the deadline
    /// counts as broken off: no byte of it has been forwarded, and it may never end.
    async fn record_response(
        &self,
        ex: &Exchange,
        mut response: BackendResponse,
        sent: SentRequest,
    ) -> Reply {
        let time_left = ex.deadline.since(self.clock.now());
        let body = match response.body {
            ResponseBody::Whole(body) => Ok(Collected::Whole(body)),
            ResponseBody::Stream(body) => {
                let collected = collect(body, self.max_stored_body_bytes);
                tokio::time::timeout(time_left, collected)
                    .await
                    .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            }
        };
        let content_type = response.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let mut stored = StoredResponse {
            status: response.status.as_u16(),
            content_type: content_type.to_string(),
            body: None,
        };
        match body {
            Ok(Collected::Whole(body)) => {
                stored.body = Some(body.to_vec());
                sent.record_response(stored);
                response.body = ResponseBody::Whole(body);
                Ok(response)
            }
            Ok(Collected::Longer(body)) => {
                sent.record_response(stored);
                response.body = ResponseBody::Stream(body);
                Ok(response)
            }
            Err(error) => {
                // The request ran, so its response is recorded without the incomplete body.
                sent.record_response(stored);
                let is_late = self.clock.now() >= ex.deadline;
                let kind =
                    if is_late { ErrorKind::AnswerTimeout } else { ErrorKind::ConnectionLost };
                Err(Failure::new(kind, format!("the answer broke off: {error}")))
            }
        }
    }
}

impl Filter for Claim {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        if !ex.is_at_most_once() {
            return next.handle(ex).await;
        }
        let request = claim_request(ex)?;
        match self.claims.claim(request).await {
            Decision::Send(claim) => self.send_claimed(ex, claim, next).await,
            Decision::Respond(ClaimVerdict::Replay(stored)) => replay(stored, ex),
            Decision::Respond(verdict) => Err(refusal(&verdict)),
        }
    }
}

/// Result of reading a body up to a limit.
enum Collected {
    /// The complete body, which is within the limit.
    Whole(Bytes),
    /// The body exceeds the limit; the stream yields all of it, including what was read.
    Longer(BodyStream),
}

fn claim_request(ex: &Exchange) -> Result<ClaimRequest, Failure> {
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

/// Reads a body until it ends or exceeds `limit` bytes.
async fn collect(mut body: BodyStream, limit: usize) -> io::Result<Collected> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.next().await {
        buf.extend_from_slice(&chunk?);
        if buf.len() > limit {
            let prefix = stream::iter([Ok(buf.freeze())]);
            return Ok(Collected::Longer(Box::pin(prefix.chain(body))));
        }
    }
    Ok(Collected::Whole(buf.freeze()))
}

/// Returns the stored response of an earlier request with the same key.
fn replay(stored: StoredResponse, ex: &Exchange) -> Reply {
    let Some(body) = stored.body else {
        let detail = format!("an earlier try was answered with status {}", stored.status);
        return Err(Failure::new(ErrorKind::AlreadyRan, detail));
    };
    let mut fields = HeaderMap::new();
    fields.insert(headers::IDEMPOTENT_REPLAYED, HeaderValue::from_static("true"));
    fields.insert(headers::EXECUTION, HeaderValue::from_static("ran"));
    if let Ok(value) = HeaderValue::from_str(ex.request_id.as_str()) {
        fields.insert(headers::REQUEST_ID, value);
    }
    if let Some(value) = content_type(&stored.content_type) {
        fields.insert(header::CONTENT_TYPE, value);
    }
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    Ok(BackendResponse { status, headers: fields, body: ResponseBody::Whole(body.into()) })
}

fn content_type(text: &str) -> Option<HeaderValue> {
    if text.is_empty() { None } else { HeaderValue::from_str(text).ok() }
}

/// Returns the failure for the caller of a request that is not sent.
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
