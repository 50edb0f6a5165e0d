//! Metrics of the process; docs/METRICS.md describes them.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const HISTOGRAM_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0];

/// All metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome: `answered`, `abandoned` or the kind of failure.
    pub(crate) requests: IntCounterVec,
    /// Failed attempts and probes, by reason.
    pub(crate) send_failures: IntCounterVec,
    /// Time from a request's header to its response, in seconds.
    pub(crate) latency: Histogram,
    /// Time spent on the selection of a target, in seconds.
    pub(crate) selection: Histogram,
    /// Probes sent to targets.
    pub(crate) probes: IntCounter,
    /// Connections opened to targets.
    pub(crate) connections_opened: IntCounter,
    /// Calls to the store, by kind.
    pub(crate) store_calls: IntCounterVec,
    /// Version of the configuration in force.
    pub(crate) configuration_version: IntGauge,
    /// Hints for other gateways that were dropped because the control thread's queue was full.
    pub(crate) hints_dropped: IntCounter,
    /// Times that a request was held until targets are probed again.
    pub(crate) holds: IntCounter,
    /// Decisions about requests of organisations with a quota, by kind.
    pub(crate) quota_decisions: IntCounterVec,
    /// Whether notices about quotas arrive, 0 or 1.
    pub(crate) quota_connected: IntGauge,
    /// Findings about targets, by kind and origin.
    pub(crate) target_findings: IntCounterVec,
    /// Trials of targets that are tried last, by result.
    pub(crate) target_trials: IntCounterVec,
    /// Targets that are tried last because of findings that gateways share.
    pub(crate) targets_tried_last: IntGauge,
    /// Requests in flight.
    pub(crate) in_flight: IntGauge,
    /// Bytes reserved for bodies and responses.
    pub(crate) bytes_held: IntGauge,
    /// Bodies that wait for memory.
    pub(crate) bodies_waiting: IntGauge,
    /// Open connections of callers.
    pub(crate) caller_connections: IntGauge,
    /// Connections of callers closed to keep a bound, by reason.
    pub(crate) callers_closed: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric is malformed or registered twice.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self {
            requests: counter_vec(
                &registry,
                "edge_requests_total",
                "Requests by outcome",
                "outcome",
            )?,
            send_failures: counter_vec(
                &registry,
                "edge_send_failures_total",
                "Failed sends",
                "reason",
            )?,
            latency: histogram(&registry, "edge_request_seconds", "Time to the answer")?,
            selection: histogram(&registry, "edge_selection_seconds", "Time to choose a target")?,
            probes: counter(&registry, "edge_probes_total", "Health checks sent")?,
            connections_opened: counter(
                &registry,
                "edge_connections_opened_total",
                "Connections opened to targets",
            )?,
            store_calls: counter_vec(
                &registry,
                "edge_store_calls_total",
                "Calls to the store",
                "call",
            )?,
            configuration_version: gauge(
                &registry,
                "edge_configuration_version",
                "Version of the configuration in force",
            )?,
            hints_dropped: counter(
                &registry,
                "edge_hints_dropped_total",
                "Hints for other gateways that were dropped",
            )?,
            holds: counter(&registry, "edge_requests_held_total", "Waits for a better target")?,
            quota_decisions: counter_vec(
                &registry,
                "edge_quota_decisions_total",
                "Requests of organisations with a quota",
                "decision",
            )?,
            quota_connected: gauge(
                &registry,
                "edge_quota_connected",
                "Whether notices about quotas arrive",
            )?,
            bytes_held: gauge(
                &registry,
                "edge_bytes_held",
                "Bytes reserved for bodies and responses",
            )?,
            bodies_waiting: gauge(&registry, "edge_bodies_waiting", "Bodies that wait for memory")?,
            caller_connections: gauge(
                &registry,
                "edge_caller_connections",
                "Open connections of callers",
            )?,
            callers_closed: counter_vec(
                &registry,
                "edge_callers_closed_total",
                "Connections of callers closed to keep a bound",
                "reason",
            )?,
            target_findings: counter_vec(
                &registry,
                "edge_target_findings_total",
                "Findings about targets that begin or end a time in which they are tried last",
                "finding",
            )?,
            target_trials: counter_vec(
                &registry,
                "edge_target_trials_total",
                "Trials of targets that are tried last",
                "result",
            )?,
            targets_tried_last: gauge(
                &registry,
                "edge_targets_tried_last",
                "Targets that are tried only if no others are left",
            )?,
            in_flight: gauge(&registry, "edge_requests_in_flight", "Requests in flight")?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub(crate) fn encode_text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}

/// Registers a family of counters with one label.
fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(HISTOGRAM_BUCKETS_S.to_vec());
    let metric = Histogram::with_opts(opts)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
