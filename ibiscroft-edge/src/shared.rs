//! What the control thread and the traffic thread share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    AttemptOutcome, ColdTargetLimiter, FleetSize, GatewayCount, Hint, ProbeBudget, ProbeReport,
    RetryLimits, RetryWindow, Route, SaturationSlowdown, TargetHealth, TrafficSplit, View,
};
use ibiscroft_core::ids::{ServiceName, TargetName};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::link_pool::LinkPool;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::suspects::Suspects;

/// Part of the fleet's health checks that is used; the rest covers uneven traffic.
const PROBE_SAFETY: f64 = 0.9;
/// Time for which a target is likely to stay slow.
const SLOW_LASTS: Duration = Duration::from_millis(80);
/// Cost above which a target is slow.
const SLOW_COST: f64 = 1.9;
/// Time after the start of the process in which the first configuration is about to come: several
/// times what a listing takes on a slow link.
const FIRST_CONFIGURATION: Duration = Duration::from_millis(600);
/// Weight of the newest answer in the usual time of a kind of work.
const NEWEST: f64 = 0.1;

/// Handles of one daemon.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Settings.
    pub(crate) settings: Settings,
    /// Monotonic clock.
    pub(crate) clock: Clock,
    /// What the control thread believes.
    pub(crate) view: ArcSwap<View>,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Idle connections to targets.
    pub(crate) pool: LinkPool,
    /// What the traffic thread saw that other gateways must know.
    pub(crate) hints: mpsc::Sender<Hint>,
    /// Set once a planned stop began.
    pub(crate) is_closing: AtomicBool,
    /// Set once the view was as new as the store.
    pub(crate) is_current: AtomicBool,
    /// Becomes true once a configuration is known.
    pub(crate) has_configuration: watch::Sender<bool>,
    local: Mutex<Local>,
}

/// Work of one kind: requests of a route at a service, which take about the same time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WorkKind {
    /// Name of the route.
    pub(crate) route: String,
    /// The service.
    pub(crate) service: ServiceName,
}

/// What the traffic thread learned by itself.
#[derive(Debug, Default)]
pub(crate) struct Local {
    /// Distribution of requests over services.
    pub(crate) split: TrafficSplit,
    /// Requests to cold targets.
    pub(crate) cold: ColdTargetLimiter,
    /// Requests that crash targets.
    pub(crate) suspects: Suspects,
    /// Gateways that share the fleet's budgets.
    pub(crate) gateways: FleetSize,
    probes: ProbeBudget,
    windows: HashMap<ServiceName, RetryWindow>,
    health: HashMap<TargetName, TargetHealth>,
    costs: HashMap<TargetName, (Tick, f64)>,
    usual: HashMap<WorkKind, f64>,
    crowding: HashMap<ServiceName, SaturationSlowdown>,
}

impl Local {
    /// Returns the health of a target.
    pub(crate) fn health(&self, target: &TargetName) -> TargetHealth {
        self.health.get(target).copied().unwrap_or_default()
    }

    /// Notes how a send to a target ended.
    pub(crate) fn note(&mut self, now: Tick, target: &TargetName, verdict: AttemptOutcome) {
        self.health.entry(target.clone()).or_default().note(now, verdict);
    }

    /// Returns the window of further sends of a service.
    pub(crate) fn window(&mut self, service: &ServiceName, terms: RetryLimits) -> &mut RetryWindow {
        self.windows.entry(service.clone()).or_insert_with(|| RetryWindow::new(terms))
    }

    /// Notes what a target said of its load.
    pub(crate) fn note_cost(&mut self, now: Tick, target: &TargetName, cost: f64) {
        self.costs.insert(target.clone(), (now, cost));
    }

    /// Returns whether a target said a moment ago that it is slow or crowded.
    pub(crate) fn was_slow(&self, now: Tick, target: &TargetName) -> bool {
        let known = self.costs.get(target);
        known.is_some_and(|(at, cost)| now.since(*at) < SLOW_LASTS && *cost > SLOW_COST)
    }

    /// Forgets kinds of work of routes that are not among `routes`.
    pub(crate) fn retain_routes(&mut self, routes: &[Route]) {
        self.split.retain(routes);
        self.usual.retain(|kind, _| routes.iter().any(|route| route.name == kind.route));
    }

    /// Forgets targets that are no longer `known`.
    pub(crate) fn retain(&mut self, known: impl Fn(&TargetName) -> bool) {
        self.health.retain(|target, _| known(target));
        self.costs.retain(|target, _| known(target));
    }

    /// Notes the time of an answer of a target that had stated `report`.
    pub(crate) fn note_time(&mut self, kind: &WorkKind, time: Duration, report: &ProbeReport) {
        let uncrowded = time.as_secs_f64() / report.unsaturated_cost().max(1.0);
        if let Some(usual) = self.usual.get(kind) {
            let crowding = self.crowding.entry(kind.service.clone()).or_default();
            crowding.note(report, uncrowded / usual);
        }
        let cost = report.cost(self.crowding(&kind.service)).max(1.0);
        let sample = time.as_secs_f64() / cost;
        let usual = self.usual.entry(kind.clone()).or_insert(sample);
        *usual += (sample - *usual) * NEWEST;
    }

    /// Returns how much slower the targets of a service are when they are nearly full.
    pub(crate) fn crowding(&self, service: &ServiceName) -> SaturationSlowdown {
        self.crowding.get(service).copied().unwrap_or_default()
    }

    /// Returns the usual time of a kind of work, `None` before the first answer.
    pub(crate) fn usual_time(&self, kind: &WorkKind) -> Option<Duration> {
        self.usual.get(kind).map(|seconds| Duration::from_secs_f64(*seconds))
    }
}

impl Shared {
    /// Makes the handles of a daemon that knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        hints: mpsc::Sender<Hint>,
    ) -> Result<Arc<Self>, prometheus::Error> {
        Ok(Arc::new(Self {
            settings,
            clock: Clock::start(),
            view: ArcSwap::from_pointee(View::default()),
            metrics: Metrics::new()?,
            pool: LinkPool::default(),
            hints,
            is_closing: AtomicBool::new(false),
            is_current: AtomicBool::new(false),
            has_configuration: watch::Sender::new(false),
            local: Mutex::default(),
        }))
    }

    /// Locks what the traffic thread learned; never held across a wait.
    pub(crate) fn local(&self) -> MutexGuard<'_, Local> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the terms of the fleet's budget of further sends.
    pub(crate) fn retry_terms(&self) -> RetryLimits {
        let budget = self.settings.retry_budget;
        let window = Duration::from_secs_f64(budget.window_s);
        RetryLimits { ratio: budget.ratio, floor: budget.floor, window }
    }

    /// Returns the number of gateways that share the fleet's budgets.
    pub(crate) fn gateways(&self) -> GatewayCount {
        self.local().gateways.get(self.clock.now())
    }

    /// Takes a health check from this gateway's part of the fleet's.
    pub(crate) fn take_probe(&self, necessary: bool) -> bool {
        let rate = self.probe_rate();
        self.local().probes.try_take(self.clock.now(), rate, necessary)
    }

    /// Returns whether there are health checks left for more than the usual choice.
    pub(crate) fn probes_are_ample(&self) -> bool {
        let rate = self.probe_rate();
        self.local().probes.is_over_half_full(rate)
    }

    /// Returns this gateway's part of the fleet's health checks, in checks a second.
    fn probe_rate(&self) -> f64 {
        let targets = self.view.load().targets().count() as f64;
        let gateways = f64::from(self.gateways().get());
        self.settings.probes_per_s * PROBE_SAFETY * targets / gateways
    }

    /// Waits for the first configuration while the process has just started.
    pub(crate) async fn first_configuration(&self) {
        if *self.has_configuration.borrow() {
            return;
        }
        let mut known = self.has_configuration.subscribe();
        let until = self.clock.instant(Tick::ZERO + FIRST_CONFIGURATION);
        // Without a configuration by then the caller is told to come back.
        let _ = tokio::time::timeout_at(until, known.wait_for(|known| *known)).await;
    }

    /// Tells other gateways what was seen; dropped and counted when control is behind.
    pub(crate) fn tell(&self, hints: impl IntoIterator<Item = Hint>) {
        for hint in hints {
            if self.hints.try_send(hint).is_err() {
                self.metrics.hints_dropped.inc();
            }
        }
    }

    /// Returns whether a planned stop began.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Returns whether the platform's balancer may send new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let view = self.view.load();
        let is_current = self.is_current.load(Ordering::Relaxed);
        let has_targets = view.targets().next().is_some();
        !self.is_closing() && is_current && view.configuration().is_some() && has_targets
    }
}
