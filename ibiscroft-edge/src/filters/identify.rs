//! Reads a caller's request and determines its route and service.

mod organisation;

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::header::{self, HeaderMap, HeaderName};
use http::uri::Uri;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::Configuration;
use ibiscroft_core::quarantine::Fingerprint;
use poem::Request;

use self::organisation::Identity;
use crate::dialect::Dialect;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind};
use crate::shared::{LatencyClass, Shared};

/// Retry time for callers of a daemon that has no configuration yet, or none that is current.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Reads the complete request and selects its route and service.
///
/// # Errors
///
/// Returns the failure for the caller if there is no configuration, no route matches, the route
/// needs an API key and the request has none that is known, the route names no service, or a header
/// field or the body is malformed or the body too large.
pub(crate) async fn identify<D: Dialect>(
    req: &mut Request,
    shared: &Shared,
    received: Tick,
) -> Result<Exchange, Failure> {
    // Read before the view, which is then at least as recent.
    let staleness = shared.staleness();
    let view = shared.view.load_full();
    let Some(configuration) = view.configuration() else {
        let detail = "no configuration is known yet";
        return Err(Failure::new(FailureKind::NotReady, detail).retry_after(NOT_READY_RETRY_AFTER));
    };
    let metadata = D::parse_request(req.headers())
        .map_err(|reason| Failure::new(FailureKind::BadRequest, reason))?;
    let host = host(req.original_uri(), req.headers()).to_string();
    let path = req.original_uri().path();
    let Some(route) = configuration.route(&host, path).cloned() else {
        let detail = format!("host {host:?}, path {path:?}, version {}", configuration.version);
        return Err(Failure::new(FailureKind::NoRoute, detail));
    };
    let credential = D::parse_credential(req.headers());
    let Identity { organisation, priority } =
        organisation::identify(configuration, &route, credential, staleness)?;
    let service = shared.traffic().split.next(&route, rand::random());
    let Some(service) = service else {
        let detail = format!("route {} names no service", route.name);
        return Err(Failure::new(FailureKind::NoTarget, detail));
    };
    let latency_class = LatencyClass { route: route.name.clone(), service: service.clone() };
    let policy = configuration.services.get(&service);
    let health_path = policy.map_or_else(|| "/".to_string(), |policy| policy.health_path.clone());
    let timeout = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let path_and_query = req.original_uri().path_and_query();
    let path_and_query = path_and_query.map_or_else(|| "/".to_string(), ToString::to_string);
    let method = req.method().clone();
    let body = read_body(req, configuration).await?;
    let caller = req.remote_addr().as_socket_addr().map(|address| address.ip().to_string());
    let caller = caller.unwrap_or_default();
    let parts = [
        caller.as_bytes(),
        host.as_bytes(),
        method.as_str().as_bytes(),
        path_and_query.as_bytes(),
        &body,
    ];
    let fingerprint = Fingerprint::new(parts);
    let mut headers = std::mem::take(req.headers_mut());
    remove_hop_by_hop(&mut headers);
    if configuration.organisations.is_some() {
        organisation::remove_withheld::<D>(&mut headers);
    }
    Ok(Exchange {
        request_id: metadata.request_id,
        received,
        deadline: received + timeout,
        method,
        path_and_query,
        headers,
        body,
        route,
        organisation,
        priority,
        version: configuration.version,
        fingerprint,
        latency_class,
        service,
        health_path,
    })
}

/// Removes hop-by-hop header fields, including those named by `Connection`, and `Content-Length`,
/// which is set again when the message is sent.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Returns the host of a request without its port, from the URI or else the `Host` header field.
fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let host_field = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = uri.host().or(host_field).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Reads the complete request body, within the configured size limit and `BODY_TIMEOUT`.
async fn read_body(req: &mut Request, configuration: &Configuration) -> Result<Bytes, Failure> {
    let limit = configuration.limits.body_bytes;
    let content_length = req.headers().get(header::CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length == Some(0) || (content_length.is_none() && !is_chunked(req.headers())) {
        return Ok(Bytes::new());
    }
    if content_length.is_some_and(|size| size > limit) {
        return Err(too_large(limit));
    }
    let mut stream = req.take_body().into_bytes_stream();
    let read = async {
        let mut buf = Vec::new();
        while let Some(chunk) = stream.next().await {
            let chunk = chunk
                .map_err(|error| Failure::new(FailureKind::BadRequest, format!("body: {error}")))?;
            if buf.len() + chunk.len() > limit {
                return Err(too_large(limit));
            }
            buf.extend_from_slice(&chunk);
        }
        Ok(buf.into())
    };
    tokio::time::timeout(BODY_TIMEOUT, read).await.unwrap_or_else(|_| {
        let detail = format!("the body took over {} s", BODY_TIMEOUT.as_secs());
        Err(Failure::new(FailureKind::BadRequest, detail))
    })
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
}

fn too_large(limit: usize) -> Failure {
    Failure::new(FailureKind::BodyTooLarge, format!("at most {limit} bytes are accepted"))
}
