//! Reads a caller's request and determines its route and service.

mod body;
pub(crate) mod currency;
mod organisation;

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};
use http::uri::Uri;
use ibiscroft_core::Tick;
use ibiscroft_core::quarantine::Fingerprint;
use poem::Request;

use self::body::read_body;
use self::currency::Currency;
use self::organisation::Identity;
use crate::dialect::Dialect;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind};
use crate::shared::{LatencyClass, Shared};

/// Retry time for callers of a daemon that has no configuration yet, or none that is current.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);

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
/// needs an API key and the request has none that is known, the route names no service, a header
/// field or the body is malformed, or the body is too large or late. What a newer configuration
/// may allow is refused as `NotReady` unless the configuration is known to be current.
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
    let currency = Currency { version: configuration.version, staleness };
    let metadata = D::parse_request(req.headers())
        .map_err(|reason| Failure::new(FailureKind::BadRequest, reason))?;
    let host = host(req.original_uri(), req.headers()).to_string();
    let path = req.original_uri().path();
    let Some(route) = configuration.route(&host, path).cloned() else {
        let reason = format!("host {host:?}, path {path:?}");
        return Err(currency.refusal(FailureKind::NoRoute, &reason));
    };
    let credential = D::parse_credential(req.headers());
    let Identity { organisation, priority } =
        organisation::identify(configuration, &route, credential, currency)?;
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
    let deadline = received + timeout;
    let body_limit = configuration.limits.body_bytes;
    let body = read_body(req, shared, body_limit, currency, deadline).await?;
    let caller = req.remote_addr().as_socket_addr().map(|address| address.ip().to_string());
    let caller = caller.unwrap_or_default();
    let parts =
        [caller.as_bytes(), host.as_bytes(), method.as_str().as_bytes(), path_and_query.as_bytes()];
    let fingerprint = Fingerprint::new(parts).with_segments(body.segments());
    let mut headers = std::mem::take(req.headers_mut());
    remove_hop_by_hop(&mut headers);
    if configuration.organisations.is_some() {
        organisation::remove_withheld::<D>(&mut headers);
    }
    Ok(Exchange {
        request_id: metadata.request_id,
        received,
        deadline,
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
