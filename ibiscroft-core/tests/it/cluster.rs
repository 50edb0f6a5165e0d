//! Several gateways' registers with a fake store, in virtual time.
//!
//! Messages and answers take one step. A paused gateway does nothing, and what arrives meanwhile
//! waits for it. After a pause the traffic threads run before control does.

mod oracle;
mod store;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::{Configuration, ZoneState};
use ibiscroft_core::ids::{ChangeId, Generation, InstanceName, ZoneName};
use ibiscroft_core::register::Stamped;
use ibiscroft_core::registers::{RegisterAction, RegisterMessage, Registers, StoredValue};
use serde::{Deserialize, Serialize};

use oracle::Oracle;
use store::{FakeStore, Put};

/// Gateways in a cluster.
pub(crate) const GATEWAYS: usize = 6;
/// Availability zones by number.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

const STEP: Duration = Duration::from_millis(50);
const WATCH_WAIT: Duration = Duration::from_secs(1);
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Something that happens to the cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    WaitMs(u64),
    Answer,
    ZoneOut(usize),
    ZoneIn(usize),
    Race(usize, usize),
    Pause(usize),
    Resume(usize),
    Cut(usize),
    Heal(usize),
    Restart(usize),
    CutLink(usize, usize),
    HealLinks,
    StoreDown,
    StoreUp,
    Snapshot,
    Rollback,
}

enum Event {
    Store {
        asked_at: Tick,
        configuration: StoredValue<Configuration>,
        zones: StoredValue<ZoneState>,
    },
    StoreUnchanged {
        asked_at: Tick,
    },
    StoreLost,
    Message {
        from: usize,
        message: RegisterMessage,
    },
}

enum Mail {
    ToGateway { to: usize, event: Event },
    ToStore { from: usize, action: RegisterAction },
}

pub(crate) struct Gateway {
    pub(crate) registers: Registers,
    pub(crate) is_paused: bool,
    pub(crate) is_cut: bool,
    pub(crate) disturbed_at: Tick,
    pub(crate) cut_until: Option<Tick>,
    watch_asked_at: Option<Tick>,
    next_watch: Tick,
    seen_revision: u64,
    inbox: VecDeque<Event>,
}

pub(crate) struct Cluster {
    pub(crate) now: Tick,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) store: FakeStore,
    oracle: Oracle,
    cut_links: BTreeSet<(usize, usize)>,
    mail: Vec<(Tick, Mail)>,
    changes: u64,
}

impl Cluster {
    /// Starts with a first configuration in force everywhere.
    pub(crate) fn new() -> Self {
        let now = Tick::from_millis(10_000);
        let mut cluster = Self {
            now,
            gateways: (0..GATEWAYS).map(|index| Gateway::new(index, now)).collect(),
            store: FakeStore::default(),
            oracle: Oracle::default(),
            cut_links: BTreeSet::new(),
            mail: Vec::new(),
            changes: 0,
        };
        cluster.apply(&Step::Answer);
        cluster.apply(&Step::WaitMs(4_000));
        cluster
    }

    /// Does one step and lets its time pass; panics when a promise is broken.
    pub(crate) fn apply(&mut self, step: &Step) {
        match *step {
            Step::WaitMs(ms) => {
                let end = self.now + Duration::from_millis(ms);
                while self.now < end {
                    self.advance();
                }
            }
            Step::Answer => self.answer(),
            Step::ZoneOut(zone) => self.change_zones(&[(zone, true)]),
            Step::ZoneIn(zone) => self.change_zones(&[(zone, false)]),
            Step::Race(first, second) => self.change_zones(&[(first, true), (second, true)]),
            Step::Pause(index) => self.gateways[index].set_paused(true, self.now),
            Step::Resume(index) => self.gateways[index].set_paused(false, self.now),
            Step::Cut(index) => self.gateways[index].set_cut(true, self.now),
            Step::Heal(index) => self.gateways[index].set_cut(false, self.now),
            Step::Restart(index) => self.restart(index),
            Step::CutLink(first, second) => {
                self.cut_links.insert((first.min(second), first.max(second)));
            }
            Step::HealLinks => self.cut_links.clear(),
            Step::StoreDown => self.store.is_down = true,
            Step::StoreUp => self.store.is_down = false,
            Step::Snapshot => self.store.snapshot(),
            Step::Rollback => self.store.rollback(),
        }
        self.answer_watches();
    }

    /// Ends all faults and waits; then every gateway and the store must have the newest state.
    pub(crate) fn settle(&mut self) {
        self.store.is_down = false;
        self.cut_links.clear();
        for index in 0..GATEWAYS {
            self.gateways[index].set_paused(false, self.now);
            self.gateways[index].set_cut(false, self.now);
        }
        self.apply(&Step::WaitMs(7_000));
        self.oracle.check_settled(&self.gateways, &self.store);
    }

    /// Lets one step of time pass.
    fn advance(&mut self) {
        self.now = self.now + STEP;
        self.oracle.check_work(&self.gateways, self.now);
        self.deliver();
        for index in 0..GATEWAYS {
            self.run_control(index);
        }
        self.answer_watches();
        self.oracle.check_work(&self.gateways, self.now);
        self.oracle.check_gateways(&self.gateways, self.now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.mail).into_iter().partition(|(at, _)| *at <= now);
        self.mail = later;
        for (_, mail) in due {
            match mail {
                Mail::ToGateway { to, event } => self.gateways[to].inbox.push_back(event),
                Mail::ToStore { from, action } => self.write(from, action),
            }
        }
    }

    fn run_control(&mut self, index: usize) {
        let now = self.now;
        if self.gateways[index].is_paused {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.gateways[index].inbox.pop_front() {
            actions.extend(self.gateways[index].on_event(event, now));
        }
        actions.extend(self.gateways[index].registers.on_tick(now));
        self.gateways[index].ask_watch(now);
        for action in actions {
            self.send(index, action);
        }
    }

    fn send(&mut self, from: usize, action: RegisterAction) {
        let at = self.now + STEP;
        let RegisterAction::Send { to, message } = action else {
            self.mail.push((at, Mail::ToStore { from, action }));
            return;
        };
        let to = index_of(&to);
        let is_cut = self.gateways[from].is_cut || self.gateways[to].is_cut;
        if is_cut || self.cut_links.contains(&(from.min(to), from.max(to))) {
            return;
        }
        self.mail.push((at, Mail::ToGateway { to, event: Event::Message { from, message } }));
    }

    fn write(&mut self, from: usize, action: RegisterAction) {
        if self.store.is_down || self.gateways[from].is_cut {
            return;
        }
        match action {
            RegisterAction::RepairConfiguration(repair) => {
                self.store.configuration.put(
                    repair.value,
                    repair.expected_version,
                    &mut self.store.revision,
                );
            }
            RegisterAction::RepairZones(repair) => {
                self.store.zones.put(
                    repair.value,
                    repair.expected_version,
                    &mut self.store.revision,
                );
            }
            RegisterAction::Send { .. } => {}
        }
    }

    /// Answers each watch whose time is up or whose view is not the newest.
    fn answer_watches(&mut self) {
        let now = self.now;
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(asked_at) = gateway.watch_asked_at else {
                continue;
            };
            let event = if gateway.is_cut {
                if now.since(asked_at) < WATCH_TIMEOUT {
                    continue;
                }
                Event::StoreLost
            } else if self.store.is_down {
                Event::StoreLost
            } else if self.store.revision != gateway.seen_revision {
                gateway.seen_revision = self.store.revision;
                Event::Store {
                    asked_at,
                    configuration: self.store.configuration.clone(),
                    zones: self.store.zones.clone(),
                }
            } else if now.since(asked_at) >= WATCH_WAIT {
                Event::StoreUnchanged { asked_at }
            } else {
                continue;
            };
            gateway.watch_asked_at = None;
            self.mail.push((now + STEP, Mail::ToGateway { to: index, event }));
        }
    }

    fn restart(&mut self, index: usize) {
        let is_cut = self.gateways[index].is_cut;
        self.gateways[index] = Gateway::new(index, self.now);
        self.mail.retain(|(_, mail)| !matches!(mail, Mail::ToGateway { to, .. } if *to == index));
        self.gateways[index].set_cut(is_cut, self.now);
        self.oracle.forget(index);
    }

    fn fresh_change(&mut self) -> ChangeId {
        self.changes += 1;
        ChangeId::new(format!("{:04x}", self.changes.wrapping_mul(0x9e37) & 0xffff))
    }

    /// An operator changes the configuration, beginning from the newest that any gateway has.
    fn answer(&mut self) {
        if self.store.is_down {
            return;
        }
        let known = self.reachable().filter_map(|gateway| gateway.registers.configuration());
        let generation = known.map(|cfg| cfg.generation).max().unwrap_or_default();
        let found = self.store.configuration.clone();
        let generation = found.value.map_or(generation, |cfg| cfg.generation.max(generation));
        let new = Configuration {
            generation: Generation(generation.get() + 1),
            change_id: self.fresh_change(),
            zones: ZONES.into_iter().map(ZoneName::new).collect(),
            services: Vec::new(),
        };
        self.advance();
        let store = &mut self.store;
        if !store.is_down
            && store.configuration.put(new.clone(), found.version, &mut store.revision)
        {
            self.oracle.on_configuration_accepted(new.stamp(), self.now);
            self.hand_over(&RegisterMessage::Registers { configuration: Some(new), zones: None });
        }
    }

    /// Operators change the zone state at once; compare-and-swap lets one of them win.
    fn change_zones(&mut self, wanted: &[(usize, bool)]) {
        if self.store.is_down {
            return;
        }
        let found = self.store.zones.clone();
        let known = self.reachable().filter_map(|gateway| gateway.registers.zones());
        let base = known.chain(found.value.as_ref()).max_by_key(|zones| zones.stamp()).cloned();
        let base = base.unwrap_or_else(ZoneState::empty);
        let mut changes = Vec::new();
        for (zone, is_out) in wanted {
            let zone = ZoneName::new(ZONES[*zone]);
            let mut out = base.out.clone();
            out.retain(|name| *name != zone);
            if *is_out {
                out.push(zone);
            }
            let generation = Generation(base.generation.get() + 1);
            changes.push(ZoneState { generation, change_id: self.fresh_change(), out });
        }
        self.advance();
        for new in changes {
            let store = &mut self.store;
            if !store.is_down && store.zones.put(new.clone(), found.version, &mut store.revision) {
                self.oracle.on_zones_accepted(new.clone(), self.now);
                self.hand_over(&RegisterMessage::Registers {
                    configuration: None,
                    zones: Some(new),
                });
            }
        }
    }

    /// The operator's tool hands an accepted record to the gateways before it reports success.
    fn hand_over(&mut self, message: &RegisterMessage) {
        let operator = InstanceName::new("gw-operator");
        for index in 0..GATEWAYS {
            if self.gateways[index].is_paused || self.gateways[index].is_cut {
                continue;
            }
            let registers = &mut self.gateways[index].registers;
            for action in registers.on_message(&operator, message, self.now) {
                self.send(index, action);
            }
        }
    }

    /// Gateways that an operator can ask.
    fn reachable(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways.iter().filter(|gateway| !gateway.is_paused && !gateway.is_cut)
    }
}

impl Gateway {
    fn new(index: usize, now: Tick) -> Self {
        let mut registers = Registers::new(name_of(index), now.as_micros(), now);
        registers.set_roster((0..GATEWAYS).map(name_of).collect(), now);
        Self {
            registers,
            is_paused: false,
            is_cut: false,
            disturbed_at: now,
            cut_until: None,
            watch_asked_at: None,
            next_watch: now,
            seen_revision: 0,
            inbox: VecDeque::new(),
        }
    }

    fn set_paused(&mut self, is_paused: bool, now: Tick) {
        if self.is_paused != is_paused {
            self.is_paused = is_paused;
            self.disturbed_at = now;
        }
    }

    fn set_cut(&mut self, is_cut: bool, now: Tick) {
        if self.is_cut != is_cut {
            self.is_cut = is_cut;
            self.disturbed_at = now;
            self.cut_until = Some(now);
        }
    }

    fn ask_watch(&mut self, now: Tick) {
        if self.watch_asked_at.is_none() && now >= self.next_watch {
            self.watch_asked_at = Some(now);
            self.next_watch = Tick::from_micros(u64::MAX);
        }
    }

    fn on_event(&mut self, event: Event, now: Tick) -> Vec<RegisterAction> {
        match event {
            Event::Store { asked_at, configuration, zones } => {
                self.next_watch = now;
                self.registers.on_store(&configuration, &zones, asked_at, now)
            }
            Event::StoreUnchanged { asked_at } => {
                self.next_watch = now;
                self.registers.on_store_unchanged(asked_at, now);
                Vec::new()
            }
            Event::StoreLost => {
                self.next_watch = now + RETRY_PAUSE;
                self.seen_revision = 0;
                self.registers.on_store_lost();
                Vec::new()
            }
            Event::Message { from, message } => {
                self.registers.on_message(&name_of(from), &message, now)
            }
        }
    }
}

fn name_of(index: usize) -> InstanceName {
    InstanceName::new(format!("gw-{index}"))
}

fn index_of(name: &InstanceName) -> usize {
    name.as_str()[3..].parse().unwrap()
}
