//! Prometheus metrics of the process; docs/METRICS.md describes them.

use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::claims::ClaimMetrics;

/// Upper bounds of the histogram buckets for added time, in seconds.
const ADDED_SECONDS_BUCKETS: [f64; 16] = [
    0.000_02, 0.000_05, 0.000_1, 0.000_15, 0.000_2, 0.000_25, 0.000_31, 0.000_4, 0.000_5, 0.001,
    0.002, 0.005, 0.01, 0.1, 0.5, 2.0,
];

/// All metrics of one gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests with a response from a backend server, by status class.
    pub(crate) responses: IntCounterVec,
    /// Requests that were refused or failed, by error kind.
    pub(crate) failures: IntCounterVec,
    /// Time in seconds that the gateway added to requests without a claim, with a response.
    pub(crate) added_seconds: Histogram,
    /// Time in seconds that the gateway added to at-most-once requests, which need a claim, with a
    /// response.
    pub(crate) at_most_once_added_seconds: Histogram,
    /// Connections of callers closed to keep a bound, by reason.
    pub(crate) callers_closed: IntCounterVec,
    /// Requests in flight.
    pub(crate) in_flight: IntGauge,
    /// Observations dropped because the queue of the control thread was full.
    pub(crate) observations_dropped: IntCounter,
    /// Generation of the configuration in force.
    pub(crate) configuration_generation: IntGauge,
    /// Generation of the zone state in force.
    pub(crate) zones_generation: IntGauge,
    /// Calls to the key-value service, by kind.
    pub(crate) store_calls: IntCounterVec,
    /// Claims of at-most-once requests.
    pub(crate) claims: ClaimMetrics,
    /// Bytes sent to other gateways.
    pub(crate) peer_sent_bytes: IntCounter,
    /// Bytes received from other gateways.
    pub(crate) peer_received_bytes: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the library's error if a metric is malformed or registered twice.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self {
            responses: counter_vec(&registry, "answers_total", "Requests answered", "class")?,
            failures: counter_vec(&registry, "failures_total", "Requests not answered", "kind")?,
            added_seconds: histogram(
                &registry,
                "added_seconds",
                "Time the gateway added to answered requests without a claim, in seconds",
            )?,
            at_most_once_added_seconds: histogram(
                &registry,
                "order_added_seconds",
                "Time the gateway added to answered requests with a claim, in seconds",
            )?,
            callers_closed: counter_vec(
                &registry,
                "callers_closed_total",
                "Connections of callers closed to keep a bound",
                "reason",
            )?,
            in_flight: gauge(&registry, "requests_in_flight", "Requests in flight")?,
            observations_dropped: counter(
                &registry,
                "observations_dropped_total",
                "Observations dropped because control was behind",
            )?,
            configuration_generation: gauge(
                &registry,
                "configuration_generation",
                "Generation of the configuration in force",
            )?,
            zones_generation: gauge(
                &registry,
                "zones_generation",
                "Generation of the zone state in force",
            )?,
            store_calls: counter_vec(
                &registry,
                "store_calls_total",
                "Calls to the key-value service",
                "call",
            )?,
            claims: ClaimMetrics::register(&registry)?,
            peer_sent_bytes: counter(
                &registry,
                "peer_sent_bytes_total",
                "Bytes sent to other gateways",
            )?,
            peer_received_bytes: counter(
                &registry,
                "peer_received_bytes_total",
                "Bytes received from other gateways",
            )?,
            registry,
        })
    }

    /// Records the time that the gateway added to one request with a response; `has_claim` is set
    /// for an at-most-once request.
    pub(crate) fn observe_added(&self, added: Duration, has_claim: bool) {
        let histogram =
            if has_claim { &self.at_most_once_added_seconds } else { &self.added_seconds };
        histogram.observe(added.as_secs_f64());
    }

    /// Counts a caller whose body or response made no progress while others were refused.
    pub(crate) fn count_stalled(&self) {
        self.callers_closed.with_label_values(&["stalled"]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}

/// Counts one request as in flight until it is dropped, also if its caller disconnects.
#[derive(Debug)]
pub(crate) struct InFlightGuard(IntGauge);

impl InFlightGuard {
    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin(metrics: &Metrics) -> Self {
        metrics.in_flight.inc();
        Self(metrics.in_flight.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new(format!("ibiscroft_{name}"), help);
    let metric = Histogram::with_opts(opts.buckets(ADDED_SECONDS_BUCKETS.to_vec()))?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(format!("ibiscroft_{name}"), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(format!("ibiscroft_{name}"), help), &[label])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(format!("ibiscroft_{name}"), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
