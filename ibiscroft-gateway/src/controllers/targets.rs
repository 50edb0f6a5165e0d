//! State of each target, which decides whether it may receive new work.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use ibiscroft_core::Tick;
use ibiscroft_core::admission::Limits;
use ibiscroft_core::budget::ServiceRetryBudget;
use ibiscroft_core::config::{Configuration, Service, Target, ZoneState};
use ibiscroft_core::ids::{RunId, ServiceName, TargetName, ZoneName};
use ibiscroft_core::leaving::{LeavingTargets, StateReport};
use ibiscroft_core::selection::{Candidate, Eligibility, LoadTable, Pool};
use serde_json::{Value, json};

use crate::clock::Clock;
use crate::controllers::permits::Permits;
use crate::controllers::registers::Registers;
use crate::events::event;
use crate::service_admission::ServiceAdmission;
use crate::snapshot::{ServiceView, Snapshot};

/// State of all targets, with the loads, budgets and admission control that outlive a snapshot.
#[derive(Debug)]
pub(crate) struct Targets {
    clock: Clock,
    loads: LoadTable,
    budgets: HashMap<ServiceName, Arc<ServiceRetryBudget>>,
    admissions: HashMap<ServiceName, Arc<ServiceAdmission>>,
    leaving: LeavingTargets,
    changed: bool,
}

impl Targets {
    /// Creates the state of a gateway without targets.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            loads: LoadTable::default(),
            budgets: HashMap::new(),
            admissions: HashMap::new(),
            leaving: LeavingTargets::default(),
            changed: false,
        }
    }

    /// Returns whether a state changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Handles a report about the state of a target.
    ///
    /// Returns the draining run if it was not known to drain, so that peers must be notified.
    pub(crate) fn on_state_report(
        &mut self,
        target: &TargetName,
        report: &StateReport,
        now: Tick,
    ) -> Option<RunId> {
        let was_leaving = self.leaving.is_leaving(target);
        let draining_run = self.leaving.on_state_report(target, report, now);
        let is_leaving = self.leaving.is_leaving(target);
        if is_leaving != was_leaving {
            self.changed = true;
            if is_leaving {
                event!(TargetLeaving, "target {target}");
            } else {
                event!(TargetBack, "target {target}");
            }
        }
        draining_run
    }

    /// Returns whether a target is leaving and must not receive new work.
    pub(crate) fn is_leaving(&self, target: &TargetName) -> bool {
        self.leaving.is_leaving(target)
    }

    /// Returns the run that last responded for a target, unless the target is leaving.
    pub(crate) fn serving_run(&self, target: &TargetName) -> Option<&RunId> {
        self.leaving.serving_run(target)
    }

    /// Returns the draining targets with the run that drains.
    pub(crate) fn draining(&self) -> impl Iterator<Item = (&TargetName, &RunId)> {
        self.leaving.draining()
    }

    /// Creates the snapshot for traffic threads from the registers in force and the state of the
    /// targets.
    pub(crate) fn snapshot(
        &mut self,
        registers: &Registers,
        permits: &Permits,
        own_zone: &ZoneName,
    ) -> Snapshot {
        let cfg = registers.configuration();
        self.remove_unconfigured(cfg);
        let mut services = Vec::with_capacity(cfg.services.len());
        for service in &cfg.services {
            services.push(Arc::new(self.service_view(
                service,
                registers.zones(),
                permits,
                own_zone,
            )));
        }
        Snapshot { generation: cfg.generation, services }
    }

    /// Describes all targets of a snapshot, for the dump.
    pub(crate) fn dump(&self, snapshot: &Snapshot) -> Value {
        let mut targets = Vec::new();
        for view in &snapshot.services {
            for candidate in view.pool.candidates() {
                targets.push(json!({
                    "name": candidate.target.name,
                    "service": view.service.name,
                    "zone": candidate.target.zone,
                    "state": state_name(candidate.eligibility),
                    "in_flight": candidate.load.in_flight(),
                }));
            }
        }
        Value::Array(targets)
    }

    /// Describes the services of a snapshot, for the dump.
    pub(crate) fn dump_services(snapshot: &Snapshot) -> Value {
        let mut services = Vec::new();
        for view in &snapshot.services {
            let counts = view.admission.counts();
            services.push(json!({
                "name": view.service.name,
                "slots": view.admission.limits().slots,
                "running": counts.running,
                "waiting": counts.waiting,
                "waiting_patient": counts.waiting_batch,
                "concurrency": counts.concurrency,
            }));
        }
        Value::Array(services)
    }

    /// Removes the state of targets and services that are no longer configured.
    fn remove_unconfigured(&mut self, cfg: &Configuration) {
        let mut configured = HashSet::new();
        for service in &cfg.services {
            configured.extend(service.targets.iter().map(|target| &target.name));
        }
        self.loads.retain(|name| configured.contains(name));
        self.leaving.retain(|name| configured.contains(name));
        let is_configured =
            |name: &ServiceName| cfg.services.iter().any(|service| service.name == *name);
        self.budgets.retain(|name, _| is_configured(name));
        self.admissions.retain(|name, _| is_configured(name));
    }

    fn service_view(
        &mut self,
        service: &Service,
        zones: &ZoneState,
        permits: &Permits,
        own_zone: &ZoneName,
    ) -> ServiceView {
        let mut candidates = Vec::with_capacity(service.targets.len());
        let mut warm_runs = Vec::with_capacity(service.targets.len());
        for target in &service.targets {
            let warm_run = permits.warm_run(&target.name);
            candidates.push(Candidate {
                target: target.clone(),
                eligibility: self.eligibility(target, zones, warm_run.is_some()),
                load: self.loads.entry(&target.name),
            });
            warm_runs.push(warm_run);
        }
        let budget = self.budgets.entry(service.name.clone());
        let budget =
            budget.or_insert_with(|| Arc::new(ServiceRetryBudget::new(service.retry_share)));
        let pool = Pool::new(own_zone, candidates);
        let limits = limits(service, &pool);
        let admission = self.admissions.entry(service.name.clone());
        let admission =
            admission.or_insert_with(|| Arc::new(ServiceAdmission::new(self.clock, limits)));
        admission.set_limits(limits);
        ServiceView {
            service: service.clone(),
            pool,
            warm_runs,
            budget: Arc::clone(budget),
            admission: Arc::clone(admission),
        }
    }

    /// Returns whether a target may receive new work, or why not.
    fn eligibility(&self, target: &Target, zones: &ZoneState, is_warm: bool) -> Eligibility {
        if zones.is_out(&target.zone) {
            return Eligibility::ZoneOut;
        }
        if self.leaving.is_leaving(&target.name) {
            return Eligibility::Leaving;
        }
        if is_warm { Eligibility::Warm } else { Eligibility::Cold }
    }
}

/// Returns the admission limits of a service; a cold target counts with the number of requests
/// that it can take at once.
fn limits(service: &Service, pool: &Pool) -> Limits {
    let cold = u32::try_from(pool.cold().len()).unwrap_or(u32::MAX);
    let cold = cold.saturating_mul(service.cold.concurrency.max(1));
    Limits {
        slots: pool.warm_slots().saturating_add(cold),
        queue: service.queue_limit,
        batch_queue: service.queue_limit,
        queue_wait: service.queue_wait,
    }
}

fn state_name(eligibility: Eligibility) -> &'static str {
    match eligibility {
        Eligibility::Warm => "warm",
        Eligibility::Cold => "cold",
        Eligibility::ZoneOut => "zone_out",
        Eligibility::Leaving => "leaving",
    }
}
