//! What a gateway has learned from its own requests and from other gateways.

use std::collections::HashMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    AttemptOutcome, ColdTargetLimiter, FleetSize, Hint, LeavingTargets, ProbeBudget, ProbeReport,
    RecentRanks, RestingTargets, RetryLimits, RetryWindow, Route, SaturationSlowdown, SharedHealth,
    Target, TargetHealth, TrafficSplit,
};
use ibiscroft_core::ids::{ServiceName, TargetName};

use crate::suspects::Suspects;

/// Time after a report during which a slow target is expected to stay slow.
const SLOW_RETENTION: Duration = Duration::from_millis(80);
/// Cost above which a target counts as slow, in units of the baseline latency.
const SLOW_COST: f64 = 1.9;
/// Weight of the newest sample in the moving average of the baseline latency.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.1;

/// Requests of one route at one service, which take about the same time and share a baseline
/// latency.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LatencyClass {
    /// Name of the route.
    pub(crate) route: String,
    /// Name of the service.
    pub(crate) service: ServiceName,
}

/// What this gateway has learned from its own requests and probes, and from hints of other
/// gateways.
#[derive(Debug, Default)]
pub(crate) struct TrafficState {
    /// Distribution of a route's requests over its services.
    pub(crate) split: TrafficSplit,
    /// Rate limits of requests to cold targets.
    pub(crate) cold_limiter: ColdTargetLimiter,
    /// Requests suspected of crashing targets.
    pub(crate) suspects: Suspects,
    /// Number of gateways that share the fleet's budgets.
    pub(crate) fleet_size: FleetSize,
    /// Fraction of the targets that the view holds; below 1 after the first listing, 0 before it.
    pub(crate) listed_fraction: f64,
    /// Targets that announced that they are leaving.
    pub(crate) leaving: LeavingTargets,
    /// Targets that asked this gateway to send nothing for some time.
    pub(crate) resting: RestingTargets,
    /// Findings about targets that gateways share; `None` if the deployment does not.
    pub(crate) shared_health: Option<SharedHealth>,
    pub(super) probe_budget: ProbeBudget,
    retry_windows: HashMap<ServiceName, RetryWindow>,
    health: HashMap<TargetName, TargetHealth>,
    /// Latest cost of each target and when it was reported.
    costs: HashMap<TargetName, (Tick, f64)>,
    /// Baseline latency of each class, in seconds.
    baselines: HashMap<LatencyClass, f64>,
    slowdowns: HashMap<ServiceName, SaturationSlowdown>,
    /// Priorities of the recent requests of each service.
    pub(super) ranks: HashMap<ServiceName, RecentRanks>,
}

impl TrafficState {
    /// Creates an empty state; `shared_health` is `None` if findings about targets are not shared.
    pub(super) fn new(shared_health: Option<SharedHealth>) -> Self {
        Self { shared_health, ..Self::default() }
    }

    /// Returns the recent failures of a target.
    pub(crate) fn health(&self, target: &TargetName) -> TargetHealth {
        self.health.get(target).copied().unwrap_or_default()
    }

    /// Records the outcome of an attempt or a probe of a target.
    pub(crate) fn record_outcome(
        &mut self,
        now: Tick,
        target: &TargetName,
        outcome: AttemptOutcome,
    ) {
        self.health.entry(target.clone()).or_default().note(now, outcome);
    }

    /// Returns whether a target is to be tried only if no others are left.
    pub(crate) fn is_excluded(&self, now: Tick, target: &Target) -> bool {
        let shared_health = self.shared_health.as_ref();
        self.health(&target.name).is_excluded(now)
            || shared_health.is_some_and(|health| health.is_tried_last(now, target))
    }

    /// Ends the backoff of a target that another gateway or a trial has reached.
    pub(crate) fn end_backoff(&mut self, now: Tick, target: &TargetName) {
        if let Some(health) = self.health.get_mut(target) {
            health.end_backoff(now);
        }
    }

    /// Returns the retry window of a service, creating it with `limits` if there is none yet.
    pub(crate) fn retry_window(
        &mut self,
        service: &ServiceName,
        limits: RetryLimits,
    ) -> &mut RetryWindow {
        self.retry_windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(limits, rand::random()))
    }

    /// Records the cost of a request at a target, according to the load that the target reported.
    pub(crate) fn record_cost(&mut self, now: Tick, target: &TargetName, cost: f64) {
        self.costs.insert(target.clone(), (now, cost));
    }

    /// Returns whether a target reported within `SLOW_RETENTION` that it is slow or near
    /// saturation.
    pub(crate) fn is_likely_slow(&self, now: Tick, target: &TargetName) -> bool {
        let latest = self.costs.get(target);
        latest.is_some_and(|(at, cost)| now.since(*at) < SLOW_RETENTION && *cost > SLOW_COST)
    }

    /// Records a hint of another gateway; returns whether further gateways need it.
    pub(crate) fn on_hint(&mut self, now: Tick, hint: &Hint) -> bool {
        match hint {
            Hint::Lost(_) | Hint::Answered(_) => {
                self.suspects.on_hint(now, hint);
                true
            }
            Hint::Leaving(departure) => self.leaving.note(now, departure),
            // Notices concern `Quotas`, and only those of the source are taken.
            Hint::Quota(_) => false,
            // `target_health` takes and forwards findings, as their origin counts.
            Hint::TargetDown(_) | Hint::TargetUp(_) => false,
        }
    }

    /// Returns the hints that a gateway needs which has just connected and may have missed them.
    pub(crate) fn lasting_hints(&self) -> Vec<Hint> {
        self.leaving.departures().map(Hint::Leaving).collect()
    }

    /// Returns whether `target` has asked this gateway neither to rest nor announced that it is
    /// leaving.
    pub(crate) fn may_use(&self, now: Tick, target: &Target) -> bool {
        !self.leaving.contains(target) && self.resting.until(now, target).is_none()
    }

    /// Drops the state of routes that are not among `routes`.
    pub(crate) fn retain_routes(&mut self, routes: &[Route]) {
        self.split.retain(routes);
        self.baselines.retain(|class, _| routes.iter().any(|route| route.name == class.route));
    }

    /// Drops the state of targets for which `is_known` returns false.
    pub(crate) fn retain_targets(&mut self, is_known: impl Fn(&TargetName) -> bool) {
        self.health.retain(|target, _| is_known(target));
        self.costs.retain(|target, _| is_known(target));
    }

    /// Records the latency of a response from a target that had reported `report` when probed.
    ///
    /// Updates the slowdown near saturation of the service and the baseline latency of the class.
    pub(crate) fn record_latency(
        &mut self,
        class: &LatencyClass,
        latency: Duration,
        report: &ProbeReport,
    ) {
        let unsaturated = latency.as_secs_f64() / report.unsaturated_cost().max(1.0);
        if let Some(baseline) = self.baselines.get(class) {
            let slowdown = self.slowdowns.entry(class.service.clone()).or_default();
            slowdown.note(report, unsaturated / baseline);
        }
        let cost = report.cost(self.slowdown(&class.service)).max(1.0);
        let sample = latency.as_secs_f64() / cost;
        let baseline = self.baselines.entry(class.clone()).or_insert(sample);
        *baseline += (sample - *baseline) * BASELINE_SAMPLE_WEIGHT;
    }

    /// Returns how much slower the targets of a service are near saturation.
    pub(crate) fn slowdown(&self, service: &ServiceName) -> SaturationSlowdown {
        self.slowdowns.get(service).copied().unwrap_or_default()
    }

    /// Returns the baseline latency of a class, `None` before the first response.
    pub(crate) fn baseline_latency(&self, class: &LatencyClass) -> Option<Duration> {
        self.baselines.get(class).map(|seconds| Duration::from_secs_f64(*seconds))
    }
}
