//! State of each target: may it receive new work?

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use ibiscroft_core::Tick;
use ibiscroft_core::budget::ServiceBudget;
use ibiscroft_core::config::{Configuration, Service, Target, ZoneState};
use ibiscroft_core::ids::{RunId, ServiceName, TargetName, ZoneName};
use ibiscroft_core::leaving::{LeavingTargets, Sighting};
use ibiscroft_core::selection::{Candidate, Eligibility, LoadTable, Pool};
use serde_json::{Value, json};

use crate::controllers::permits::Permits;
use crate::controllers::registers::Registers;
use crate::events::event;
use crate::snapshot::{ServiceView, Snapshot};

/// State of all targets.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    loads: LoadTable,
    budgets: HashMap<ServiceName, Arc<ServiceBudget>>,
    leaving: LeavingTargets,
    changed: bool,
}

impl Targets {
    /// Returns whether a state changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes what was seen of a target; returns the draining run when peers have to be told.
    pub(crate) fn on_sighting(
        &mut self,
        target: &TargetName,
        sighting: &Sighting,
        now: Tick,
    ) -> Option<RunId> {
        let was_leaving = self.leaving.is_leaving(target);
        let news = self.leaving.on_sighting(target, sighting, now);
        let is_leaving = self.leaving.is_leaving(target);
        if is_leaving != was_leaving {
            self.changed = true;
            if is_leaving {
                event!(TargetLeaving, "target {target}");
            } else {
                event!(TargetBack, "target {target}");
            }
        }
        news
    }

    /// Returns the runs that said that they drain.
    pub(crate) fn draining(&self) -> impl Iterator<Item = (&TargetName, &RunId)> {
        self.leaving.draining()
    }

    /// Makes the view for traffic threads from the registers and the state of targets.
    pub(crate) fn snapshot(
        &mut self,
        registers: &Registers,
        permits: &Permits,
        own_zone: &ZoneName,
    ) -> Snapshot {
        let cfg = registers.configuration();
        self.forget_unconfigured(cfg);
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

    /// Describes all targets of a snapshot.
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

    fn forget_unconfigured(&mut self, cfg: &Configuration) {
        let mut configured = HashSet::new();
        for service in &cfg.services {
            configured.extend(service.targets.iter().map(|target| &target.name));
        }
        self.loads.retain(|name| configured.contains(name));
        self.leaving.retain(|name| configured.contains(name));
        self.budgets.retain(|name, _| cfg.services.iter().any(|service| service.name == *name));
    }

    fn service_view(
        &mut self,
        service: &Service,
        zones: &ZoneState,
        permits: &Permits,
        own_zone: &ZoneName,
    ) -> ServiceView {
        let mut candidates = Vec::with_capacity(service.targets.len());
        let mut proofs = Vec::with_capacity(service.targets.len());
        for target in &service.targets {
            let proof = permits.proof(&target.name);
            candidates.push(Candidate {
                target: target.clone(),
                eligibility: self.eligibility(target, zones, proof.is_some()),
                load: self.loads.entry(&target.name),
            });
            proofs.push(proof);
        }
        let budget = self.budgets.entry(service.name.clone());
        let budget = budget.or_insert_with(|| Arc::new(ServiceBudget::new(service.retry_share)));
        ServiceView {
            service: service.clone(),
            pool: Pool::new(own_zone, candidates),
            proofs,
            budget: Arc::clone(budget),
        }
    }

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

fn state_name(eligibility: Eligibility) -> &'static str {
    match eligibility {
        Eligibility::Warm => "warm",
        Eligibility::Cold => "cold",
        Eligibility::ZoneOut => "zone_out",
        Eligibility::Leaving => "leaving",
    }
}
