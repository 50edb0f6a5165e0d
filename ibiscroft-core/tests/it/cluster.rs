//! The registers of several gateways with a fake store, in virtual time.
//!
//! Messages and responses take one tick. A paused gateway does nothing, and events that arrive
//! during the pause wait in its inbox. After a pause, the traffic threads run before the control
//! thread: the oracle checks what they send before the gateway has handled the events.

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

/// Number of gateways in a cluster.
pub(crate) const GATEWAYS: usize = 6;
/// Names of the availability zones.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time between two runs of the control threads; also the delay of messages and responses.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time until the store responds to a watch; it responds earlier to a change.
const WATCH_MAX_WAIT: Duration = Duration::from_secs(1);
/// Time after which a gateway that is cut off abandons a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between a failed watch and the next one.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(250);

/// An event or a fault in the cluster; gateways and zones are given by their index.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// Lets the given number of milliseconds pass.
    WaitMs(u64),
    /// An operator changes the configuration.
    #[serde(rename = "answer")]
    ChangeConfiguration,
    /// An operator takes a zone out of service.
    ZoneOut(usize),
    /// An operator puts a zone back into service.
    ZoneIn(usize),
    /// Two operators take a zone out of service at the same time.
    Race(usize, usize),
    /// Pauses a gateway.
    Pause(usize),
    /// Resumes a gateway.
    Resume(usize),
    /// Cuts a gateway off from the store and all peers.
    Cut(usize),
    /// Connects a gateway that was cut off.
    Heal(usize),
    /// Restarts a gateway.
    Restart(usize),
    /// Cuts the link between two gateways.
    CutLink(usize, usize),
    /// Restores all links between gateways.
    HealLinks,
    /// Makes the store unavailable.
    StoreDown,
    /// Makes the store available.
    StoreUp,
    /// Saves a snapshot of the store.
    Snapshot,
    /// Restores the last snapshot of the store.
    Rollback,
}

/// An event that a gateway receives.
enum Event {
    /// The store responded with both registers to a watch that was sent at `sent_at`.
    Store {
        sent_at: Tick,
        configuration: StoredValue<Configuration>,
        zones: StoredValue<ZoneState>,
    },
    /// The store responded that nothing changed to a watch that was sent at `sent_at`.
    StoreUnchanged { sent_at: Tick },
    /// The store could not be reached.
    StoreLost,
    /// A message of another gateway.
    Message { from: usize, message: RegisterMessage },
}

/// An event or a write in transit.
enum Delivery {
    ToGateway { to: usize, event: Event },
    ToStore { from: usize, action: RegisterAction },
}

/// One gateway, with the faults that affect it.
pub(crate) struct Gateway {
    pub(crate) registers: Registers,
    pub(crate) is_paused: bool,
    pub(crate) is_cut: bool,
    /// When the gateway started, or was last paused, resumed, cut off or connected.
    pub(crate) last_fault_change: Tick,
    /// When the gateway was last cut off or connected.
    pub(crate) last_cut_change: Option<Tick>,
    /// When the open watch was sent.
    watch_sent_at: Option<Tick>,
    /// When the next watch is due.
    next_watch: Tick,
    /// Revision of the store in the last response to a watch.
    seen_revision: u64,
    inbox: VecDeque<Event>,
}

/// Gateways, their store and the messages between them.
pub(crate) struct Cluster {
    pub(crate) now: Tick,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) store: FakeStore,
    oracle: Oracle,
    /// Pairs of gateways whose link is cut, each with the smaller index first.
    cut_links: BTreeSet<(usize, usize)>,
    /// Messages and responses in transit, with their time of arrival.
    deliveries: Vec<(Tick, Delivery)>,
    /// Number of change ids generated.
    change_count: u64,
}

impl Cluster {
    /// Starts the gateways and puts a first configuration in force on all of them.
    pub(crate) fn new() -> Self {
        let now = Tick::from_millis(10_000);
        let mut cluster = Self {
            now,
            gateways: (0..GATEWAYS).map(|index| Gateway::new(index, now)).collect(),
            store: FakeStore::default(),
            oracle: Oracle::default(),
            cut_links: BTreeSet::new(),
            deliveries: Vec::new(),
            change_count: 0,
        };
        cluster.apply(&Step::ChangeConfiguration);
        cluster.apply(&Step::WaitMs(4_000));
        cluster
    }

    /// Applies one step.
    ///
    /// # Panics
    ///
    /// Panics if the oracle finds a violation.
    pub(crate) fn apply(&mut self, step: &Step) {
        match *step {
            Step::WaitMs(ms) => {
                let end = self.now + Duration::from_millis(ms);
                while self.now < end {
                    self.advance();
                }
            }
            Step::ChangeConfiguration => self.change_configuration(),
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
        self.respond_to_watches();
    }

    /// Ends all faults, waits, and checks that every gateway and the store have the newest state.
    pub(crate) fn recover_and_check(&mut self) {
        self.store.is_down = false;
        self.cut_links.clear();
        for index in 0..GATEWAYS {
            self.gateways[index].set_paused(false, self.now);
            self.gateways[index].set_cut(false, self.now);
        }
        self.apply(&Step::WaitMs(7_000));
        self.oracle.check_converged(&self.gateways, &self.store);
    }

    /// Advances the time by one tick and runs the control threads.
    fn advance(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        self.oracle.check_work(&self.gateways, self.now);
        self.deliver();
        for index in 0..GATEWAYS {
            self.run_control(index);
        }
        self.respond_to_watches();
        self.oracle.check_work(&self.gateways, self.now);
        self.oracle.check_gateways(&self.gateways, self.now);
    }

    /// Delivers the messages and responses that are due.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|(at, _)| *at <= now);
        self.deliveries = later;
        for (_, delivery) in due {
            match delivery {
                Delivery::ToGateway { to, event } => self.gateways[to].inbox.push_back(event),
                Delivery::ToStore { from, action } => self.write(from, action),
            }
        }
    }

    /// Runs the control thread of a gateway, unless the gateway is paused.
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
        self.gateways[index].start_watch(now);
        for action in actions {
            self.send(index, action);
        }
    }

    /// Puts a message or a write of a gateway in transit; a cut link loses the message.
    fn send(&mut self, from: usize, action: RegisterAction) {
        let at = self.now + TICK_INTERVAL;
        let RegisterAction::Send { to, message } = action else {
            self.deliveries.push((at, Delivery::ToStore { from, action }));
            return;
        };
        let to = index_of(&to);
        let is_cut = self.gateways[from].is_cut || self.gateways[to].is_cut;
        if is_cut || self.cut_links.contains(&(from.min(to), from.max(to))) {
            return;
        }
        self.deliveries
            .push((at, Delivery::ToGateway { to, event: Event::Message { from, message } }));
    }

    /// Performs a write of a gateway to the store.
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

    /// Responds to each watch that is due or whose gateway has not seen the newest revision.
    fn respond_to_watches(&mut self) {
        let now = self.now;
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(sent_at) = gateway.watch_sent_at else {
                continue;
            };
            let event = if gateway.is_cut {
                if now.since(sent_at) < WATCH_TIMEOUT {
                    continue;
                }
                Event::StoreLost
            } else if self.store.is_down {
                Event::StoreLost
            } else if self.store.revision != gateway.seen_revision {
                gateway.seen_revision = self.store.revision;
                Event::Store {
                    sent_at,
                    configuration: self.store.configuration.clone(),
                    zones: self.store.zones.clone(),
                }
            } else if now.since(sent_at) >= WATCH_MAX_WAIT {
                Event::StoreUnchanged { sent_at }
            } else {
                continue;
            };
            gateway.watch_sent_at = None;
            self.deliveries.push((now + TICK_INTERVAL, Delivery::ToGateway { to: index, event }));
        }
    }

    /// Replaces a gateway by one that has nothing in force; its incoming messages are lost.
    fn restart(&mut self, index: usize) {
        let is_cut = self.gateways[index].is_cut;
        self.gateways[index] = Gateway::new(index, self.now);
        self.deliveries.retain(
            |(_, delivery)| !matches!(delivery, Delivery::ToGateway { to, .. } if *to == index),
        );
        self.gateways[index].set_cut(is_cut, self.now);
        self.oracle.on_restart(index);
    }

    fn next_change_id(&mut self) -> ChangeId {
        self.change_count += 1;
        ChangeId::new(format!("{:04x}", self.change_count.wrapping_mul(0x9e37) & 0xffff))
    }

    /// Writes a configuration that is newer than those of the store and the reachable gateways.
    fn change_configuration(&mut self) {
        if self.store.is_down {
            return;
        }
        let known = self.reachable().filter_map(|gateway| gateway.registers.configuration());
        let generation = known.map(|cfg| cfg.generation).max().unwrap_or_default();
        let stored = self.store.configuration.clone();
        let generation = stored.value.map_or(generation, |cfg| cfg.generation.max(generation));
        let new = Configuration {
            generation: Generation(generation.get() + 1),
            change_id: self.next_change_id(),
            zones: ZONES.into_iter().map(ZoneName::new).collect(),
            services: Vec::new(),
        };
        self.advance();
        let store = &mut self.store;
        if !store.is_down
            && store.configuration.put(new.clone(), stored.version, &mut store.revision)
        {
            self.oracle.on_configuration_accepted(new.stamp(), self.now);
            self.send_to_gateways(&RegisterMessage::Registers {
                configuration: Some(new),
                zones: None,
            });
        }
    }

    /// Writes concurrent changes of the zone state; compare-and-swap lets only the first succeed.
    ///
    /// Each change is a zone and whether it goes out of service.
    fn change_zones(&mut self, requested: &[(usize, bool)]) {
        if self.store.is_down {
            return;
        }
        let stored = self.store.zones.clone();
        let known = self.reachable().filter_map(|gateway| gateway.registers.zones());
        let base = known.chain(stored.value.as_ref()).max_by_key(|zones| zones.stamp()).cloned();
        let base = base.unwrap_or_else(ZoneState::empty);
        let mut changes = Vec::new();
        for (zone, is_out) in requested {
            let zone = ZoneName::new(ZONES[*zone]);
            let mut out = base.out.clone();
            out.retain(|name| *name != zone);
            if *is_out {
                out.push(zone);
            }
            let generation = Generation(base.generation.get() + 1);
            changes.push(ZoneState { generation, change_id: self.next_change_id(), out });
        }
        self.advance();
        for new in changes {
            let store = &mut self.store;
            if !store.is_down && store.zones.put(new.clone(), stored.version, &mut store.revision) {
                self.oracle.on_zones_accepted(new.clone(), self.now);
                self.send_to_gateways(&RegisterMessage::Registers {
                    configuration: None,
                    zones: Some(new),
                });
            }
        }
    }

    /// Sends an accepted record to the gateways, as the operator's tool does before it reports
    /// success.
    fn send_to_gateways(&mut self, message: &RegisterMessage) {
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

    /// Returns the gateways that an operator can reach.
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
            last_fault_change: now,
            last_cut_change: None,
            watch_sent_at: None,
            next_watch: now,
            seen_revision: 0,
            inbox: VecDeque::new(),
        }
    }

    fn set_paused(&mut self, is_paused: bool, now: Tick) {
        if self.is_paused != is_paused {
            self.is_paused = is_paused;
            self.last_fault_change = now;
        }
    }

    fn set_cut(&mut self, is_cut: bool, now: Tick) {
        if self.is_cut != is_cut {
            self.is_cut = is_cut;
            self.last_fault_change = now;
            self.last_cut_change = Some(now);
        }
    }

    fn start_watch(&mut self, now: Tick) {
        if self.watch_sent_at.is_none() && now >= self.next_watch {
            self.watch_sent_at = Some(now);
            self.next_watch = Tick::from_micros(u64::MAX);
        }
    }

    fn on_event(&mut self, event: Event, now: Tick) -> Vec<RegisterAction> {
        match event {
            Event::Store { sent_at, configuration, zones } => {
                self.next_watch = now;
                self.registers.on_store(&configuration, &zones, sent_at, now)
            }
            Event::StoreUnchanged { sent_at } => {
                self.next_watch = now;
                self.registers.on_store_unchanged(sent_at, now);
                Vec::new()
            }
            Event::StoreLost => {
                self.next_watch = now + WATCH_RETRY_DELAY;
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
