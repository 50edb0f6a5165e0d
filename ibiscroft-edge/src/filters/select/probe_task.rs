//! Probes of single targets.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::{BodyExt, Limited};
use ibiscroft_core::fleet::{AttemptOutcome, ProbeReport, Target};
use tokio::sync::mpsc;

use crate::connection::{self, TargetConnection};
use crate::dialect::{Dialect, ProbeResponse};
use crate::events::event;
use crate::shared::Shared;

/// Maximum size of the body of a response to a health check, in bytes.
const MAX_PROBE_BODY_BYTES: usize = 16 << 10;

/// Why a probe failed.
#[derive(Debug)]
pub(crate) struct ProbeError {
    /// Whether the connection was refused, which shows that the target's process has ended.
    is_process_ended: bool,
    /// Whether the target is not at its address: the connection was refused, or another target
    /// responded.
    is_absent: bool,
    /// Description of the failure.
    detail: String,
}

impl ProbeError {
    /// Creates an error that does not show whether the target's process has ended.
    fn inconclusive(detail: String) -> Self {
        Self { is_process_ended: false, is_absent: false, detail }
    }
}

/// A completed probe of the target with this index in the list of its request.
pub(super) struct CompletedProbe {
    pub(super) index: usize,
    pub(super) result: Result<(TargetConnection, ProbeReport), ProbeError>,
}

/// One probe of a target.
///
/// It runs to its end even if the request no longer needs the result, so that its connection can be
/// returned to the pool.
pub(super) struct ProbeTask {
    pub(super) shared: Arc<Shared>,
    pub(super) index: usize,
    pub(super) target: Target,
    pub(super) health_path: String,
    pub(super) tx: mpsc::UnboundedSender<CompletedProbe>,
}

impl ProbeTask {
    /// Probes the target, records a failure and sends the result to the request.
    pub(super) async fn run<D: Dialect>(self) {
        let Self { shared, index, target, health_path, tx } = self;
        let result = probe_target::<D>(&shared, &target, &health_path).await;
        if let Err(unreceived) = tx.send(CompletedProbe { index, result })
            && let Ok((connection, _)) = unreceived.0.result
        {
            shared.pool.put(&target.name, connection);
        }
    }
}

/// Probes a target and records whether it responds, also for the other gateways.
///
/// # Errors
///
/// Returns an error if there is no usable response within the timeout of a probe.
pub(crate) async fn probe_target<D: Dialect>(
    shared: &Shared,
    target: &Target,
    health_path: &str,
) -> Result<(TargetConnection, ProbeReport), ProbeError> {
    let probe = probe::<D>(shared, target, health_path);
    let probe_timeout = shared.settings.probe_timeout();
    let result = match tokio::time::timeout(probe_timeout, probe).await {
        Ok(result) => result,
        Err(_) => Err(ProbeError::inconclusive(format!(
            "no response within {} ms",
            probe_timeout.as_millis()
        ))),
    };
    match &result {
        Ok(_) => shared.note_responding(target),
        Err(error) => note_failure(shared, target, error),
    }
    result
}

/// Records and logs a failed probe.
fn note_failure(shared: &Shared, target: &Target, error: &ProbeError) {
    let now = shared.clock.now();
    let mut traffic = shared.traffic();
    traffic.record_outcome(now, &target.name, AttemptOutcome::Unreachable);
    let hints = if error.is_process_ended {
        traffic.suspects.record_process_ended(now, target)
    } else {
        Vec::new()
    };
    drop(traffic);
    shared.send_hints(hints);
    if error.is_absent {
        shared.note_absent(target);
    }
    let reason = &error.detail;
    shared.metrics.send_failures.with_label_values(&["probe"]).inc();
    let Target { name, address, .. } = target;
    event!(TargetUnreachable, "target={name} address={address} reason={reason:?}");
}

/// Probes a target on an idle connection if there is one; if that fails or there is none, opens a
/// new connection.
async fn probe<D: Dialect>(
    shared: &Shared,
    target: &Target,
    health_path: &str,
) -> Result<(TargetConnection, ProbeReport), ProbeError> {
    if let Some(connection) = shared.pool.take(&target.name)
        && let Ok(result) = probe_on::<D>(shared, connection, target, health_path).await
    {
        return Ok(result);
    }
    shared.metrics.connections_opened.inc();
    let connection = TargetConnection::open(target.address).await.map_err(|error| {
        let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
        let detail = format!("connect: {error}");
        ProbeError { is_process_ended: is_refused, is_absent: is_refused, detail }
    })?;
    probe_on::<D>(shared, connection, target, health_path).await
}

/// Sends a health check on a connection and parses the response.
async fn probe_on<D: Dialect>(
    shared: &Shared,
    mut connection: TargetConnection,
    target: &Target,
    health_path: &str,
) -> Result<(TargetConnection, ProbeReport), ProbeError> {
    let mut headers = HeaderMap::new();
    let host = HeaderValue::from_str(&target.address.to_string())
        .map_err(|error| ProbeError::inconclusive(error.to_string()))?;
    headers.insert(header::HOST, host);
    let req = connection::build_request(Method::GET, health_path, headers, Bytes::new()).map_err(
        |error| {
            let detail = format!("build health check for path {health_path:?}: {error}");
            ProbeError::inconclusive(detail)
        },
    )?;
    shared.metrics.probes.inc();
    let res = connection
        .exchange(req, connection::announces_body)
        .await
        .map_err(|error| ProbeError::inconclusive(format!("{error:?}")))?;
    let (head, body) = res.into_parts();
    let response = D::parse_probe_response(head.status, &head.headers, target.slots);
    Limited::new(body, MAX_PROBE_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| ProbeError::inconclusive(format!("read health check body: {error}")))?;
    match response {
        Some(ProbeResponse { target: Some(name), .. }) if name != target.name => {
            let detail = format!("target {name} responds at the address");
            Err(ProbeError { is_process_ended: false, is_absent: true, detail })
        }
        Some(ProbeResponse { report, wish, .. }) => {
            shared.note_wish(target, wish);
            Ok((connection, report))
        }
        None => {
            let detail = "response is not that of a health check".to_string();
            Err(ProbeError::inconclusive(detail))
        }
    }
}
