//! Reads a caller's request: its service, deadline, call depth, request ID, idempotency key and
//! body.

mod body;

use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Uri};
use ibiscroft_core::Tick;
use ibiscroft_core::ids::{CallDepth, IdempotencyKey, RequestId};
use ibiscroft_wire::{ErrorKind, headers};
use poem::Request;

use crate::exchange::{Exchange, Failure};
use crate::filters::identify::body::read_body;
use crate::shared::Shared;
use crate::snapshot::ServiceView;

pub(crate) use body::discard_body;

/// Largest total size of the names and values of all header fields, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Retry delay for callers while no configuration is in force, or none that is confirmed.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest number of calls in a chain of calls, the present one included.
const MAX_CALL_DEPTH: u8 = 7;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Longest request ID that is accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Hop-by-hop header fields, which concern a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Reads the complete request and finds the service to which it is routed.
///
/// # Errors
///
/// Returns the failure for the caller if the method is not forwarded, no configuration is in
/// force, no route matches, the header fields or the body are malformed or too large, the body
/// arrives too slowly or finds no memory, the idempotency key is missing, the deadline has passed, or the call depth
/// is exceeded.
pub(crate) async fn identify(
    req: &mut Request,
    request_id: RequestId,
    shared: &Shared,
    received: Tick,
) -> Result<Exchange, Failure> {
    let method = forwarded_method(req.method())?;
    check_header_size(req.headers())?;
    let path = req.uri().path().to_string();
    let host = host(req.uri(), req.headers()).to_string();
    let service = find_service(shared, &host, &path)?;
    let depth = depth(req.headers())?;
    let key = idempotency_key(req.headers(), service.service.is_at_most_once(method.as_str()))?;
    let deadline = received + time_limit(req.headers(), &service)?;
    let path_and_query =
        req.uri().path_and_query().map_or(path, |value| value.as_str().to_string());
    let body = read_body(req, shared, deadline).await?;
    let mut headers = std::mem::take(req.headers_mut());
    remove_hop_by_hop(&mut headers);
    Ok(Exchange {
        request_id,
        received,
        deadline,
        depth,
        method,
        path_and_query,
        headers,
        body,
        key,
        service,
        upstream_time: Duration::ZERO,
        sent_to: None,
    })
}

/// Returns the request ID that the caller sent, or `fresh()` if it is missing, empty or too long.
pub(crate) fn request_id(headers: &HeaderMap, fresh: impl FnOnce() -> String) -> RequestId {
    let given = headers
        .get(headers::REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES);
    RequestId::new(given.map_or_else(fresh, ToString::to_string))
}

/// Removes hop-by-hop header fields, including those that the `Connection` field names.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn forwarded_method(method: &Method) -> Result<Method, Failure> {
    match *method {
        Method::GET
        | Method::HEAD
        | Method::POST
        | Method::PUT
        | Method::PATCH
        | Method::DELETE
        | Method::OPTIONS => Ok(method.clone()),
        _ => Err(Failure::new(ErrorKind::MethodNotForwarded, format!("method {method}"))),
    }
}

fn check_header_size(headers: &HeaderMap) -> Result<(), Failure> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= MAX_HEADER_BYTES {
        return Ok(());
    }
    let detail = format!("{size} bytes of header fields; at most {MAX_HEADER_BYTES} are allowed");
    Err(Failure::new(ErrorKind::HeadersTooLarge, detail))
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let host_header = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = uri.host().or(host_header).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn find_service(shared: &Shared, host: &str, path: &str) -> Result<Arc<ServiceView>, Failure> {
    let snapshot = shared.view();
    if snapshot.generation.get() == 0 {
        let detail = "no configuration is in force yet";
        return Err(Failure::new(ErrorKind::NotReady, detail).retry_after(NOT_READY_RETRY_AFTER));
    }
    let Some(service) = snapshot.route(host, path) else {
        let detail = format!("host {host:?}, path {path:?}");
        if shared.validity.is_confirmed(shared.clock.now()) {
            return Err(Failure::new(ErrorKind::NoRoute, detail));
        }
        // A newer configuration may have the route.
        let detail = format!("{detail}: not known, and nothing confirms the configuration");
        return Err(Failure::new(ErrorKind::NotReady, detail).retry_after(NOT_READY_RETRY_AFTER));
    };
    Ok(Arc::clone(service))
}

/// Returns the call depth of this request: one more than that of the request that led to it.
fn depth(headers: &HeaderMap) -> Result<CallDepth, Failure> {
    let previous = match headers.get(headers::CALL_DEPTH) {
        None => 0,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.parse::<u8>().ok())
            .ok_or_else(|| bad_header(headers::CALL_DEPTH, "a number from 0 to 255"))?,
    };
    if previous >= MAX_CALL_DEPTH {
        let detail = format!("{previous} calls before this one; at most {MAX_CALL_DEPTH} in all");
        return Err(Failure::new(ErrorKind::DepthExceeded, detail));
    }
    Ok(CallDepth(previous + 1))
}

/// Returns the idempotency key of a request that requires one.
fn idempotency_key(headers: &HeaderMap, required: bool) -> Result<Option<IdempotencyKey>, Failure> {
    if !required {
        return Ok(None);
    }
    let key = headers.get(headers::IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    let key = key.map(str::trim).filter(|text| !text.is_empty());
    let Some(key) = key else {
        let detail = "this request must run at most once and needs an Idempotency-Key";
        return Err(Failure::new(ErrorKind::IdempotencyKeyMissing, detail));
    };
    if key.len() > MAX_KEY_BYTES {
        let detail = format!("the key has {} bytes; at most {MAX_KEY_BYTES}", key.len());
        return Err(Failure::new(ErrorKind::IdempotencyKeyMissing, detail));
    }
    Ok(Some(IdempotencyKey::new(key)))
}

/// Returns how long the caller waits: the time it states, but at most the default deadline of the
/// service.
fn time_limit(headers: &HeaderMap, service: &ServiceView) -> Result<Duration, Failure> {
    let max_wait = service.service.default_deadline;
    let Some(value) = headers.get(headers::DEADLINE_MS) else {
        return Ok(max_wait);
    };
    let requested = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let requested = requested
        .ok_or_else(|| bad_header(headers::DEADLINE_MS, "a whole number of milliseconds"))?;
    if requested == 0 {
        return Err(Failure::new(ErrorKind::DeadlinePassed, "no time is left"));
    }
    Ok(Duration::from_millis(requested).min(max_wait))
}

fn bad_header(name: &str, allowed: &str) -> Failure {
    Failure::new(ErrorKind::BadRequest, format!("header {name} must be {allowed}"))
}
