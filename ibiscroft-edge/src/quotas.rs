//! Quotas of organisations at this gateway, and the exchange of demand with others.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    Configuration, FollowerMessage, GatewayCount, Hint, QuotaDecision, QuotaGate, QuotaLedger,
    QuotaNotice, QuotaReport, QuotaTolerance,
};
use ibiscroft_core::ids::{Generation, OrganisationName};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::events::event;
use crate::feed_hub::FeedHub;
use crate::settings::QuotaSettings;
use crate::shared::Shared;

/// Interval at which reports and notices are checked for being due; the minimum time between two.
const TICK: Duration = Duration::from_millis(50);

/// Longest time for which a gateway that no longer reads the store keeps its ledger while its new
/// source sends no notice; a source that does not respond is given up before.
const MAX_HANDOVER: Duration = Duration::from_millis(1_500);

/// Quotas at this gateway.
#[derive(Debug)]
pub(crate) struct Quotas {
    settings: QuotaSettings,
    gate: Mutex<QuotaGate>,
    /// Whether this gateway reads the store and thus keeps the ledger.
    is_root: AtomicBool,
    /// Whether a notice of the source has arrived since this gateway last read the store.
    has_source_notice: AtomicBool,
    /// Wakes the requests that wait for a notice.
    noticed: Notify,
}

/// Converts the settings to the tolerance of the core.
fn tolerance(settings: QuotaSettings) -> QuotaTolerance {
    QuotaTolerance {
        window: Duration::from_secs_f64(settings.window_s),
        overage: settings.overage,
        slack: settings.slack,
    }
}

impl Quotas {
    /// Creates the state without limits.
    pub(crate) fn new(settings: QuotaSettings) -> Self {
        let gate = Mutex::new(QuotaGate::new(tolerance(settings)));
        let has_source_notice = AtomicBool::new(false);
        let (is_root, noticed) = (AtomicBool::new(false), Notify::new());
        Self { settings, gate, is_root, has_source_notice, noticed }
    }

    /// Locks the gate; the guard must not be held across an await.
    fn gate(&self) -> MutexGuard<'_, QuotaGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the limits of a configuration.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        self.gate().configure(configuration.organisations.as_ref());
    }

    /// Sets whether this gateway reads the store.
    pub(crate) fn set_root(&self, is_root: bool) {
        self.is_root.store(is_root, Ordering::Relaxed);
    }

    /// Decides about a request of an organisation and counts it.
    pub(crate) fn admit(&self, shared: &Shared, organisation: &OrganisationName) -> QuotaDecision {
        if !self.gate().is_in_use() {
            return QuotaDecision::Unlimited;
        }
        let gateways = fleet(shared);
        let decision =
            self.gate().admit(shared.clock.now(), organisation, gateways, rand::random());
        let label = match decision {
            QuotaDecision::Unlimited => return decision,
            QuotaDecision::Admitted => "admitted",
            QuotaDecision::OverQuota { .. } => "over_quota",
            QuotaDecision::Unknown { .. } => "quota_unknown",
        };
        shared.metrics.quota_decisions.with_label_values(&[label]).inc();
        decision
    }

    /// Takes back the count of a request that is decided about once more.
    pub(crate) fn retract_offered(&self, organisation: &OrganisationName) {
        self.gate().retract_offered(organisation);
    }

    /// Credits an admitted request that no target has run.
    pub(crate) fn give_back(&self, shared: &Shared, organisation: &OrganisationName) {
        self.gate().give_back(shared.clock.now(), organisation);
        shared.metrics.quota_decisions.with_label_values(&["given_back"]).inc();
    }

    /// Adds the report of a follower.
    pub(crate) fn on_report(&self, shared: &Shared, follower: SocketAddr, report: &QuotaReport) {
        self.gate().on_report(shared.clock.now(), follower, report);
    }

    /// Forgets a follower that has disconnected.
    pub(crate) fn forget_follower(&self, follower: SocketAddr) {
        self.gate().forget_follower(follower);
    }

    /// Takes over a notice of the source.
    pub(crate) fn on_notice(&self, shared: &Shared, notice: &QuotaNotice) {
        self.has_source_notice.store(true, Ordering::Relaxed);
        self.gate().on_notice(shared.clock.now(), notice);
        self.noticed.notify_waiters();
    }

    /// Waits for the next notice; returns whether it has arrived within `timeout`.
    pub(crate) async fn wait_for_notice(&self, timeout: Duration) -> bool {
        tokio::time::timeout(timeout, self.noticed.notified()).await.is_ok()
    }

    /// Returns the state of each organisation with a limit, for the dump.
    pub(crate) fn dump(&self, shared: &Shared) -> Value {
        let gate = self.gate();
        let entries = gate.status().map(|(name, status)| {
            json!({
                "organisation": name, "rate_per_s": status.quota.rate,
                "burst": status.quota.burst, "fraction": status.fraction,
                "offered": status.offered, "admitted": status.admitted,
            })
        });
        let entries: Vec<Value> = entries.collect();
        json!({
            "connected": gate.is_connected(shared.clock.now()),
            "root": self.is_root.load(Ordering::Relaxed),
            "settings": self.settings,
            "organisations": entries,
        })
    }
}

/// Returns the number of gateways among which a limit is divided.
///
/// The gateways in the view count as well: the number in the store is late while a fleet starts.
fn fleet(shared: &Shared) -> GatewayCount {
    let members = u32::try_from(shared.view.load().member_count()).unwrap_or(u32::MAX);
    shared.gateway_count().max(GatewayCount(members))
}

/// Exchanges demand and fractions with the other gateways.
struct Exchanger {
    shared: Arc<Shared>,
    hub: FeedHub,
    /// Set while this gateway reads the store.
    ledger: Option<QuotaLedger>,
    /// Version of the configuration that the ledger has.
    version: Option<Generation>,
    was_connected: bool,
    /// When this gateway last read the store.
    was_root_at: Tick,
}

/// Sends reports to the source or, while this gateway reads the store, notices to all followers.
pub(crate) async fn exchange(shared: Arc<Shared>, hub: FeedHub) {
    let mut exchanger = Exchanger {
        shared,
        hub,
        ledger: None,
        version: None,
        was_connected: false,
        was_root_at: Tick::ZERO,
    };
    let mut timer = tokio::time::interval(TICK);
    // After a pause the missed ticks would find nothing to send.
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        exchanger.step();
    }
}

impl Exchanger {
    fn step(&mut self) {
        let shared = Arc::clone(&self.shared);
        let quotas = &shared.quotas;
        if !quotas.gate().is_in_use() {
            self.ledger = None;
            self.was_connected = false;
            shared.metrics.quota_connected.set(0);
            return;
        }
        if quotas.is_root.load(Ordering::Relaxed) {
            quotas.has_source_notice.store(false, Ordering::Relaxed);
            self.was_root_at = shared.clock.now();
            self.step_root();
        } else if self.is_handing_over() {
            // The new source may be cut off itself. Until it is in charge, the followers of this
            // gateway have no other root.
            if let Some(report) = self.step_root() {
                self.hub.send_to_source(FollowerMessage::Quota(report));
            }
        } else {
            self.ledger = None;
            let report = quotas.gate().take_report(shared.clock.now());
            if let Some(report) = report {
                self.hub.send_to_source(FollowerMessage::Quota(report));
            }
        }
        let is_connected = quotas.gate().is_connected(shared.clock.now());
        shared.metrics.quota_connected.set(i64::from(is_connected));
        if is_connected != self.was_connected {
            self.was_connected = is_connected;
            let gateways = fleet(&shared);
            if is_connected {
                event!(QuotaConnected, "gateways={gateways}");
            } else {
                event!(QuotaDisconnected, "gateways={gateways}");
            }
        }
    }

    /// Returns whether this gateway read the store until recently and its new source has sent no
    /// notice yet.
    fn is_handing_over(&self) -> bool {
        let is_recent = self.shared.clock.now().since(self.was_root_at) < MAX_HANDOVER;
        let has_notice = self.shared.quotas.has_source_notice.load(Ordering::Relaxed);
        self.ledger.is_some() && is_recent && !has_notice
    }

    /// Adds the demand of this gateway and its followers to the ledger, and sends a notice if one is
    /// due; returns the demand if a notice was sent.
    fn step_root(&mut self) -> Option<QuotaReport> {
        let shared = &self.shared;
        let now = shared.clock.now();
        let view = shared.view.load();
        let ledger = self.ledger.get_or_insert_with(|| {
            self.version = None;
            QuotaLedger::new(tolerance(shared.quotas.settings))
        });
        let version = view.configuration_version();
        if self.version != Some(version) {
            self.version = Some(version);
            ledger.configure(now, view.configuration().and_then(|cfg| cfg.organisations.as_ref()));
        }
        let report = shared.quotas.gate().take_demand(now);
        ledger.on_report(now, fleet(shared), &report);
        let notice = ledger.notice(now)?;
        shared.quotas.gate().on_notice(now, &notice);
        shared.quotas.noticed.notify_waiters();
        self.hub.send_hints_to_followers(view.position(), vec![Hint::Quota(notice)], now);
        Some(report)
    }
}
