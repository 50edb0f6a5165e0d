//! Selects a target by probing a few of them right before a request is sent.

mod candidates;
mod probe_task;

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    ColdTargetQuota, GatewayCount, MAX_PROBE_ROUNDS, ProbeDecision, ProbeReport, ProbeSelection,
    Repeatable, SaturationSlowdown, Target, View,
};
use ibiscroft_core::ids::TargetName;
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::candidates::Candidates;
pub(crate) use self::probe_task::probe_target;
use self::probe_task::{CompletedProbe, ProbeTask};
use crate::connection::TargetConnection;
use crate::dialect::Dialect;
use crate::exchange::Exchange;
use crate::shared::Shared;

/// Time to wait for the responses of a round before further targets are probed; allows for a new
/// connection and a few round trips between zones.
const ROUND_TIMEOUT: Duration = Duration::from_millis(25);
/// Added cost of a target in another zone, in units of the baseline latency.
const CROSS_ZONE_COST: f64 = 0.4;
/// Added cost of a target in another zone for downloads, whose large responses occupy the link
/// between the zones.
const CROSS_ZONE_DOWNLOAD_COST: f64 = 1.5;

/// The target selected for a request, with the connection on which it was probed.
#[derive(Debug)]
pub(super) struct SelectedTarget {
    /// The target.
    pub(super) target: Target,
    /// The connection.
    pub(super) connection: TargetConnection,
    /// The target's response to the probe.
    pub(super) report: ProbeReport,
    /// When the response was received.
    pub(super) reported_at: Tick,
    /// Expected latency, in units of the baseline latency.
    pub(super) cost: f64,
    /// Number of targets that were probed.
    pub(super) probed: usize,
}

/// No target could be selected.
#[derive(Debug)]
pub(super) struct NoTargetSelected {
    /// Number of usable targets of the service.
    pub(super) usable: usize,
    /// Number of targets that were probed.
    pub(super) probed: usize,
    /// When the first of the targets that asked for a rest may be used again.
    pub(super) resting_until: Option<Tick>,
}

/// Selects the target for a request.
///
/// Probes targets in rounds, as far as the probe budget allows, until the cost of the best target
/// is accepted, no candidate is left or the maximum number of rounds is reached. Targets in
/// `attempted` are left out.
///
/// # Errors
///
/// Returns an error if no target responded that the request may be sent to.
pub(super) async fn select<D: Dialect>(
    shared: &Arc<Shared>,
    ex: &Exchange,
    attempted: &[TargetName],
) -> Result<SelectedTarget, NoTargetSelected> {
    let started = shared.clock.now();
    let view = shared.view.load_full();
    let probe_timeout = shared.settings.probe_timeout();
    let mut candidates = Candidates::new(shared, &view, ex, attempted);
    let (usable, resting_until) = (candidates.len(), candidates.resting_until());
    let mut probes = RequestProbes::new(shared.traffic().slowdown(&ex.service));
    for round in 0..MAX_PROBE_ROUNDS {
        let round_targets = candidates.next_round(probes.targets.is_empty());
        let is_last = round_targets.is_empty();
        candidates.put_back(probes.start::<D>(shared, ex, round_targets));
        probes
            .collect(shared, &view, ex, if is_last { probe_timeout } else { ROUND_TIMEOUT })
            .await;
        if is_last || probes.selection.accepts_best(round) {
            break;
        }
    }
    probes.close(shared);
    let duration = shared.clock.now().since(started);
    shared.metrics.selection.observe(duration.as_secs_f64());
    let probed = probes.targets.len();
    let selected = probes.into_selected(shared, &view, ex);
    selected.ok_or(NoTargetSelected { usable, probed, resting_until })
}

/// The probes for one selection and their results.
struct RequestProbes {
    /// Probed targets, in the order of their probes.
    targets: Vec<Target>,
    /// Connection, report and its time of each target that has responded, at the target's index.
    results: Vec<Option<(TargetConnection, ProbeReport, Tick)>>,
    /// Choice among the targets by the reports received so far.
    selection: ProbeSelection,
    tx: mpsc::UnboundedSender<CompletedProbe>,
    rx: mpsc::UnboundedReceiver<CompletedProbe>,
}

impl RequestProbes {
    fn new(slowdown: SaturationSlowdown) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let selection = ProbeSelection::new(slowdown);
        Self { targets: Vec::new(), results: Vec::new(), selection, tx, rx }
    }

    /// Starts probes of `targets`, last one first, as far as the probe budget allows.
    ///
    /// While no probed target can be sent to, one probe in each round is started regardless of the
    /// budget. Returns the targets that were not probed.
    fn start<D: Dialect>(
        &mut self,
        shared: &Arc<Shared>,
        ex: &Exchange,
        mut targets: Vec<Target>,
    ) -> Vec<Target> {
        let mut is_necessary = self.selection.best().is_none();
        while let Some(target) = targets.pop() {
            if !shared.try_take_probe(std::mem::take(&mut is_necessary)) {
                targets.push(target);
                break;
            }
            let index = self.targets.len();
            self.targets.push(target.clone());
            self.results.push(None);
            self.selection.note_probe_sent();
            let probe = ProbeTask {
                shared: Arc::clone(shared),
                index,
                target,
                health_path: ex.health_path.clone(),
                tx: self.tx.clone(),
            };
            tokio::spawn(probe.run::<D>());
        }
        targets
    }

    /// Processes completed probes until the request can be sent to one of the targets, all probes
    /// have completed or `timeout` has elapsed.
    async fn collect(&mut self, shared: &Shared, view: &View, ex: &Exchange, timeout: Duration) {
        let until = Instant::now() + timeout;
        while !self.selection.is_complete() {
            let Ok(Some(completed)) = tokio::time::timeout_at(until, self.rx.recv()).await else {
                return;
            };
            let CompletedProbe { index, result } = completed;
            let decision = match result {
                Ok((connection, report)) => {
                    self.on_report(shared, view, ex, index, connection, report)
                }
                Err(_) => self.selection.on_failure(),
            };
            if matches!(decision, ProbeDecision::Send(_)) {
                return;
            }
        }
    }

    /// Stops waiting for probes and returns the connections of unprocessed results to the pool.
    fn close(&mut self, shared: &Shared) {
        self.rx.close();
        while let Ok(CompletedProbe { index, result }) = self.rx.try_recv() {
            if let Ok((connection, _)) = result {
                shared.pool.put(&self.targets[index].name, connection);
            }
        }
    }

    /// Records the report of a target and includes it in the selection.
    ///
    /// A cold target whose quota is used up counts as a failed probe, and so does a target that asks
    /// for a rest or announces that it is leaving.
    fn on_report(
        &mut self,
        shared: &Shared,
        view: &View,
        ex: &Exchange,
        index: usize,
        connection: TargetConnection,
        report: ProbeReport,
    ) -> ProbeDecision {
        let target = &self.targets[index];
        let now = shared.clock.now();
        let is_other_zone = target.zone != shared.settings.availability_zone;
        let zone_cost = match (is_other_zone, ex.route.repeatable) {
            (false, _) => 0.0,
            (true, Repeatable::Download) => CROSS_ZONE_DOWNLOAD_COST,
            (true, _) => CROSS_ZONE_COST,
        };
        let gateways = shared.gateway_count();
        let mut traffic = shared.traffic();
        let cost = report.cost(traffic.slowdown(&ex.service));
        traffic.record_cost(now, &target.name, cost);
        let failure_rate = traffic.health(&target.name).failure_rate(now);
        let may_send = traffic.may_use(now, target)
            && (report.cold_left.is_zero()
                || traffic.cold_limiter.allows(
                    now,
                    &target.name,
                    cold_target_quota(shared, view, target, gateways),
                ));
        drop(traffic);
        self.results[index] = Some((connection, report, now));
        if !may_send {
            return self.selection.on_failure();
        }
        self.selection.on_report(index, &report, zone_cost, failure_rate)
    }

    /// Returns the cost and index of the target to send to.
    ///
    /// A request that must run at most once is not sent again if a full target resets the
    /// connection, so that a target with a free slot a moment ago is preferred.
    fn best(&self, shared: &Shared, ex: &Exchange) -> Option<(f64, usize)> {
        if !shared.has_pool_feature || ex.route.repeatable.is_repeatable() {
            return self.selection.best();
        }
        let now = shared.clock.now();
        self.selection.best_preferred(|index| {
            let result = self.results[index].as_ref();
            result.is_some_and(|(_, report, at)| {
                report.is_healthy && report.likely_has_free_slot(now.since(*at))
            })
        })
    }

    /// Returns the best target, and returns the connections to the others to the pool.
    ///
    /// Returns `None` if no target responded, the best one is no longer usable, or it is cold and
    /// its quota has been used up since the probe.
    fn into_selected(self, shared: &Shared, view: &View, ex: &Exchange) -> Option<SelectedTarget> {
        let best = self.best(shared, ex);
        let probed = self.targets.len();
        let mut selected = None;
        for (index, (target, result)) in self.targets.into_iter().zip(self.results).enumerate() {
            let Some((connection, report, reported_at)) = result else {
                continue;
            };
            match best {
                Some((cost, best)) if best == index => {
                    let target =
                        SelectedTarget { target, connection, report, reported_at, cost, probed };
                    selected = Some(target);
                }
                _ => shared.pool.put(&target.name, connection),
            }
        }
        let selected = selected.filter(|selected| is_still_usable(shared, &selected.target))?;
        let SelectedTarget { target, report, .. } = &selected;
        let now = shared.clock.now();
        let quota = cold_target_quota(shared, view, target, shared.gateway_count());
        let may_send = report.cold_left.is_zero()
            || shared.traffic().cold_limiter.try_acquire(now, &target.name, quota);
        may_send.then_some(selected)
    }
}

/// Returns whether a target is usable in the latest view, which may be newer than the one used for
/// the selection, and has not asked meanwhile for a rest or announced that it is leaving.
fn is_still_usable(shared: &Shared, target: &Target) -> bool {
    let view = shared.view.load();
    let now = shared.clock.now();
    view.target(&target.name)
        .is_some_and(|latest| view.is_usable(latest) && shared.traffic().may_use(now, latest))
}

/// Returns this gateway's share of the request rate that a cold target may receive.
fn cold_target_quota(
    shared: &Shared,
    view: &View,
    target: &Target,
    gateways: GatewayCount,
) -> ColdTargetQuota {
    let services = view.configuration().map(|configuration| &configuration.services);
    let policy = services.and_then(|services| services.get(&target.service));
    let rate = policy.map_or(0.0, |policy| policy.cold_rate * shared.settings.cold_factor);
    ColdTargetQuota::for_gateway(rate, &target.name, &shared.settings.instance, gateways)
}
