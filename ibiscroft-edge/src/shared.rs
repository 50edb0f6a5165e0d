//! State shared by the control thread and the traffic thread.

mod traffic_state;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    Departure, GatewayCount, Hint, MAX_REST, Rank, RetryLimits, SharedHealth, Standing,
    StopSchedule, Target, View,
};
use tokio::sync::{Semaphore, mpsc, watch};

pub(crate) use self::traffic_state::{LatencyClass, TrafficState};
use crate::byte_budget::ByteBudget;
use crate::caller_bounds::request_slots;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::dialect::TargetWish;
use crate::events::event;
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::quotas::Quotas;
use crate::settings::Settings;

/// Fraction of the fleet's probe budget that gateways use; the rest covers uneven traffic.
const PROBE_BUDGET_FRACTION: f64 = 0.9;
/// Time after the start of the process until which requests wait for the first configuration;
/// several times the duration of a listing on a slow link.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Name of the feature for deployments in which new connections are expensive.
const POOL_FEATURE: &str = "pool";

/// State and handles that all parts of the daemon use.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Settings.
    pub(crate) settings: Settings,
    /// Monotonic clock.
    pub(crate) clock: Clock,
    /// The current view of the fleet, published by the control thread.
    pub(crate) view: ArcSwap<View>,
    /// Quotas of organisations.
    pub(crate) quotas: Quotas,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Bytes of requests and responses in memory.
    pub(crate) bytes: Arc<ByteBudget>,
    /// Places for requests that use connections to targets; `None` without a limit.
    pub(crate) request_slots: Option<Arc<Semaphore>>,
    /// Idle connections to targets.
    pub(crate) pool: ConnectionPool,
    /// Whether the deployment has the feature `pool`: targets to which a connection is open are
    /// preferred, and findings about targets are shared.
    pub(crate) has_pool_feature: bool,
    /// Queue of hints for the other gateways, from the traffic thread to the control thread.
    pub(crate) hints: mpsc::Sender<Hint>,
    /// Set once a graceful shutdown has begun.
    stop: OnceLock<StopSchedule>,
    /// Becomes true when the daemon stops waiting for responses of targets.
    is_wait_over: watch::Sender<bool>,
    /// Set once the view has matched the current state of the store.
    pub(crate) has_been_current: AtomicBool,
    /// Latest instant at which the published view was known to match the store, in microseconds of
    /// the clock; 0 if it never was.
    fresh_at_us: AtomicU64,
    /// Becomes true once the view holds a configuration.
    pub(crate) has_configuration: watch::Sender<bool>,
    traffic: Mutex<TrafficState>,
}

impl Shared {
    /// Creates the state of a daemon with an empty view.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub(crate) fn new(
        settings: Settings,
        hints: mpsc::Sender<Hint>,
    ) -> Result<Arc<Self>, prometheus::Error> {
        let clock = Clock::start();
        let has_pool_feature = settings.has_feature(POOL_FEATURE);
        let shared_health = has_pool_feature.then(|| {
            SharedHealth::new(settings.instance.clone(), settings.availability_zone.clone())
        });
        Ok(Arc::new(Self {
            has_pool_feature,
            quotas: Quotas::new(settings.quota.unwrap_or_default()),
            bytes: ByteBudget::new(clock, settings.memory_mb),
            request_slots: settings.max_fds.map(request_slots),
            settings,
            clock,
            view: ArcSwap::from_pointee(View::default()),
            metrics: Metrics::new()?,
            pool: ConnectionPool::default(),
            hints,
            stop: OnceLock::new(),
            is_wait_over: watch::Sender::new(false),
            has_been_current: AtomicBool::new(false),
            fresh_at_us: AtomicU64::new(0),
            has_configuration: watch::Sender::new(false),
            traffic: Mutex::new(TrafficState::new(shared_health)),
        }))
    }

    /// Locks the traffic state; the guard must not be held across an await.
    pub(crate) fn traffic(&self) -> MutexGuard<'_, TrafficState> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a target asks of this gateway, logs it, and tells the other gateways if the
    /// target is leaving.
    pub(crate) fn note_wish(&self, target: &Target, wish: TargetWish) {
        let now = self.clock.now();
        let name = &target.name;
        if wish.is_leaving {
            let departure = Departure::of(target);
            if self.traffic().leaving.note(now, &departure) {
                event!(TargetLeaving, "target={name} born={}", target.incarnation);
                self.send_hints([Hint::Leaving(departure)]);
            }
        }
        if let Some(rest) = wish.rest {
            let until = self.traffic().resting.note(now, target, rest);
            let is_capped = rest > MAX_REST;
            event!(
                TargetResting,
                "target={name} for_ms={} asked_ms={} capped={is_capped}",
                until.since(now).as_millis(),
                rest.as_millis(),
            );
        }
    }

    /// Records the latest instant at which the view, as published last, was known to match the
    /// store.
    pub(crate) fn set_fresh_at(&self, fresh_at: Tick) {
        self.fresh_at_us.store(fresh_at.as_micros(), Ordering::Release);
    }

    /// Returns the time since the view was last known to match the store; the longest duration if
    /// it never was.
    ///
    /// A view that is loaded after this call contains all changes that the store held at that time.
    pub(crate) fn staleness(&self) -> Duration {
        match Tick::from_micros(self.fresh_at_us.load(Ordering::Acquire)) {
            Tick::ZERO => Duration::MAX,
            fresh_at => self.clock.now().since(fresh_at),
        }
    }

    /// Records the priority of a request and returns how it compares with others of its service;
    /// without the feature `pool` all requests compare as equal.
    pub(crate) fn note_rank(&self, ex: &Exchange) -> Standing {
        if !self.has_pool_feature {
            return Standing::Equal;
        }
        let rank = Rank { organisation: ex.priority, route: ex.route.priority };
        let mut traffic = self.traffic();
        traffic.ranks.entry(ex.service.clone()).or_default().note(self.clock.now(), rank)
    }

    /// Returns the limits of the fleet's retry budget.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        let budget = self.settings.retry_budget;
        let window = Duration::from_secs_f64(budget.window_s);
        RetryLimits { ratio: budget.ratio, floor: budget.floor, window }
    }

    /// Returns the number of gateways that share the fleet's budgets.
    pub(crate) fn gateway_count(&self) -> GatewayCount {
        self.traffic().fleet_size.get(self.clock.now())
    }

    /// Takes a probe from this gateway's share of the fleet's probe budget; returns whether it is
    /// allowed.
    ///
    /// A `necessary` probe is always allowed.
    pub(crate) fn try_take_probe(&self, necessary: bool) -> bool {
        let rate = self.probe_rate();
        self.traffic().probe_budget.try_take(self.clock.now(), rate, necessary)
    }

    /// Returns whether so much of the probe budget is left that a request may be held and targets
    /// probed again.
    pub(crate) fn has_spare_probes(&self) -> bool {
        let rate = self.probe_rate();
        self.traffic().probe_budget.is_over_half_full(rate)
    }

    /// Returns this gateway's share of the fleet's probe budget, in probes per second.
    fn probe_rate(&self) -> f64 {
        let view = self.view.load();
        let mut targets = view.targets().count() as f64;
        let traffic = self.traffic();
        if !view.position().is_known() && traffic.listed_fraction > 0.0 {
            targets /= traffic.listed_fraction;
        }
        let gateways = f64::from(traffic.fleet_size.get(self.clock.now()).get());
        drop(traffic);
        self.settings.probes_per_s * PROBE_BUDGET_FRACTION * targets / gateways
    }

    /// Waits for the first configuration, at most until `FIRST_CONFIGURATION_TIMEOUT` after the
    /// start of the process.
    pub(crate) async fn wait_for_first_configuration(&self) {
        if *self.has_configuration.borrow() {
            return;
        }
        let mut has_configuration = self.has_configuration.subscribe();
        let until = self.clock.instant(Tick::ZERO + FIRST_CONFIGURATION_TIMEOUT);
        // On a timeout the request is refused as not ready, with a time to retry after.
        let _ = tokio::time::timeout_at(until, has_configuration.wait_for(|known| *known)).await;
    }

    /// Queues hints for the other gateways.
    ///
    /// Hints are dropped and counted when the control thread's queue is full.
    pub(crate) fn send_hints(&self, hints: impl IntoIterator<Item = Hint>) {
        for hint in hints {
            if self.hints.try_send(hint).is_err() {
                self.metrics.hints_dropped.inc();
            }
        }
    }

    /// Begins a graceful shutdown by `schedule`; a later call has no effect.
    pub(crate) fn begin_stop(self: &Arc<Self>, schedule: StopSchedule) {
        if self.stop.set(schedule).is_err() {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep_until(shared.clock.instant(schedule.waits_until())).await;
            shared.is_wait_over.send_replace(true);
        });
    }

    /// Returns the schedule of the graceful shutdown, `None` before it has begun.
    pub(crate) fn stop(&self) -> Option<&StopSchedule> {
        self.stop.get()
    }

    /// Returns whether a graceful shutdown has begun.
    pub(crate) fn is_closing(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Waits until a graceful shutdown has reached the end of the time in which targets may respond.
    pub(crate) async fn wait_is_over(&self) {
        let mut is_wait_over = self.is_wait_over.subscribe();
        // The sender lives as long as `self`, so this returns only once the value is true.
        let _ = is_wait_over.wait_for(|is_over| *is_over).await;
    }

    /// Returns whether the gateway can serve callers, for the platform's balancer: it is not
    /// shutting down, its view has been current, and it knows a configuration and targets.
    pub(crate) fn is_ready(&self) -> bool {
        let view = self.view.load();
        let has_been_current = self.has_been_current.load(Ordering::Relaxed);
        let has_targets = view.targets().next().is_some();
        !self.is_closing() && has_been_current && view.configuration().is_some() && has_targets
    }
}
