//! State of each target: may it receive new work?

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::{Service, Target, ZoneState};
use ibiscroft_core::ids::{TargetName, ZoneName};
use serde_json::{Value, json};

use crate::controllers::registers::Registers;
use crate::events::event;
use crate::snapshot::{ServiceView, Snapshot, TargetCounters, TargetState, TargetView};

/// How long a target that refused a connection receives no new work.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);

/// What is known of one target.
#[derive(Debug, Default)]
struct TargetRecord {
    counters: Arc<TargetCounters>,
    unreachable_until: Option<Tick>,
}

/// State of all targets.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    records: HashMap<TargetName, TargetRecord>,
    changed: bool,
}

impl Targets {
    /// Returns whether a state changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Notes that a target refused a connection.
    pub(crate) fn on_unreachable(&mut self, target: &TargetName, now: Tick) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        if record.unreachable_until.is_none() {
            event!(TargetUnreachable, "target {target}");
        }
        record.unreachable_until = Some(now + UNREACHABLE_PAUSE);
        self.changed = true;
    }

    /// Notes that a target leaves.
    pub(crate) fn on_leaving(&mut self, target: &str) {
        let Some(record) = self.records.get(&TargetName::new(target)) else {
            return;
        };
        record.counters.set_leaving(true);
        event!(TargetLeaving, "target {target}");
        self.changed = true;
    }

    /// Ends pauses that are over.
    pub(crate) fn on_tick(&mut self, now: Tick) {
        for (target, record) in &mut self.records {
            if record.unreachable_until.is_none_or(|until| now < until) {
                continue;
            }
            record.unreachable_until = None;
            self.changed = true;
            event!(TargetBack, "target {target} is tried again");
        }
    }

    /// Makes the view for traffic threads from the registers and the state of targets.
    pub(crate) fn snapshot(&mut self, registers: &Registers, own_zone: &ZoneName) -> Snapshot {
        let cfg = registers.configuration();
        let configured = |name: &TargetName| {
            cfg.services.iter().flat_map(|service| &service.targets).any(|t| t.name == *name)
        };
        self.records.retain(|name, _| configured(name));
        let mut services = Vec::with_capacity(cfg.services.len());
        for service in &cfg.services {
            services.push(Arc::new(self.service_view(service, registers.zones(), own_zone)));
        }
        Snapshot { generation: cfg.generation, services }
    }

    /// Describes all targets of a snapshot.
    pub(crate) fn dump(&self, snapshot: &Snapshot) -> Value {
        let mut targets = Vec::new();
        for service in &snapshot.services {
            for view in &service.targets {
                let state =
                    if view.counters.is_leaving() { TargetState::Leaving } else { view.state };
                targets.push(json!({
                    "name": view.target.name,
                    "service": service.service.name,
                    "zone": view.target.zone,
                    "state": format!("{state:?}"),
                    "in_flight": view.counters.in_flight(),
                }));
            }
        }
        Value::Array(targets)
    }

    fn service_view(
        &mut self,
        service: &Service,
        zones: &ZoneState,
        own_zone: &ZoneName,
    ) -> ServiceView {
        let mut targets = Vec::with_capacity(service.targets.len());
        for target in &service.targets {
            targets.push(self.target_view(target, zones));
        }
        ServiceView { service: service.clone(), targets, own_zone: own_zone.clone() }
    }

    fn target_view(&mut self, target: &Target, zones: &ZoneState) -> TargetView {
        let record = self.records.entry(target.name.clone()).or_default();
        let state = if zones.is_out(&target.zone) {
            TargetState::ZoneOut
        } else if record.counters.is_leaving() {
            TargetState::Leaving
        } else if record.unreachable_until.is_some() {
            TargetState::Unreachable
        } else {
            TargetState::Eligible
        };
        TargetView { target: target.clone(), state, counters: Arc::clone(&record.counters) }
    }
}
