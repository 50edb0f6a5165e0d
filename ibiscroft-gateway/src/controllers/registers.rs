//! The configuration and the zone state in force.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::{Configuration, ZoneState};
use ibiscroft_core::freshness::FreshnessStatus;
use ibiscroft_core::gossip::Digest;
use ibiscroft_core::ids::{Generation, InstanceName, StoreVersion};
use ibiscroft_core::register::{Stamp, Stamped};
use ibiscroft_core::registers::{self as core, RegisterAction, RegisterMessage, StoredValue};
use ibiscroft_platform::StoreClient;
use ibiscroft_wire::generated::configuration::{ConfigurationRecord, ZoneStateRecord};
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::generated::store::Entry;
use ibiscroft_wire::{codec, keys, records};
use serde_json::{Value, json};

use crate::controllers::peers::Peers;
use crate::events::event;
use crate::shared::Shared;

/// Registers in force; their generations only rise.
#[derive(Debug)]
pub(crate) struct Registers {
    core: core::Registers,
    shared: Arc<Shared>,
    store: StoreClient,
    in_store: InStore,
    is_store_lost: bool,
    in_force: InForce,
    has_changed: bool,
}

/// What the store holds, as the watch showed it last.
#[derive(Debug, Default)]
struct InStore {
    configuration: StoredValue<Configuration>,
    zones: StoredValue<ZoneState>,
}

/// What is in force, with empty values when nothing was accepted yet.
#[derive(Debug)]
struct InForce {
    configuration: Rc<Configuration>,
    zones: Rc<ZoneState>,
}

impl Registers {
    /// Starts with nothing in force.
    pub(crate) fn new(shared: Arc<Shared>, store: StoreClient, own: InstanceName) -> Self {
        let now = shared.clock.now();
        Self {
            core: core::Registers::new(own, rand::random(), now),
            shared,
            store,
            in_store: InStore::default(),
            is_store_lost: true,
            in_force: InForce {
                configuration: Rc::new(Configuration::empty()),
                zones: Rc::new(ZoneState::empty()),
            },
            has_changed: false,
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> &Configuration {
        &self.in_force.configuration
    }

    /// Returns the zone state in force.
    pub(crate) fn zones(&self) -> &ZoneState {
        &self.in_force.zones
    }

    /// Returns the generation of the configuration in force.
    pub(crate) fn configuration_generation(&self) -> Generation {
        self.in_force.configuration.generation
    }

    /// Returns the generation of the zone state in force.
    pub(crate) fn zones_generation(&self) -> Generation {
        self.in_force.zones.generation
    }

    /// Returns whether anything came into force since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns whether this gateway may serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Returns the gateways that news are passed on to.
    pub(crate) fn audience(&self, from: Option<&InstanceName>) -> Vec<InstanceName> {
        self.core.gossip().neighbours_except(from).cloned().collect()
    }

    /// Takes the names of the live gateways.
    pub(crate) fn set_roster(&mut self, live: Vec<InstanceName>) {
        self.core.set_roster(live, self.shared.clock.now());
    }

    /// Takes in the keys of an answer to a watch that was sent at `sent_at`.
    ///
    /// A full answer lists everything, so a key that it lacks does not exist.
    pub(crate) fn on_watch(
        &mut self,
        entries: &[Entry],
        is_full: bool,
        sent_at: Tick,
        peers: &mut Peers,
    ) {
        let mut is_new = is_full || std::mem::take(&mut self.is_store_lost);
        if is_full {
            self.in_store = InStore::default();
        }
        for entry in entries {
            is_new |= self.take_entry(entry);
        }
        let now = self.shared.clock.now();
        if !is_new {
            self.core.on_store_unchanged(sent_at, now);
            return self.publish_validity();
        }
        let InStore { configuration, zones } = &self.in_store;
        for (found, in_force, name) in [
            (stamp(configuration), self.core.configuration().map(Stamped::stamp), "configuration"),
            (stamp(zones), self.core.zones().map(Stamped::stamp), "zone state"),
        ] {
            if found < in_force {
                event!(OlderRegisterIgnored, "{name} in the store");
            }
        }
        let actions = self.core.on_store(configuration, zones, sent_at, now);
        self.perform(actions, peers);
    }

    /// Notes that the store can't be reached.
    pub(crate) fn on_store_lost(&mut self) {
        self.is_store_lost = true;
        self.core.on_store_lost();
    }

    /// Takes in a message of a peer; returns whether it concerns registers.
    pub(crate) fn on_message(
        &mut self,
        from: &InstanceName,
        message: &PeerMessage,
        peers: &mut Peers,
    ) -> bool {
        let Some(message) = from_wire(message) else {
            return false;
        };
        let now = self.shared.clock.now();
        let actions = self.core.on_message(from, &message, now);
        self.perform(actions, peers);
        true
    }

    /// Does what is due.
    pub(crate) fn on_tick(&mut self, peers: &mut Peers) {
        let now = self.shared.clock.now();
        let actions = self.core.on_tick(now);
        self.perform(actions, peers);
    }

    /// Describes the configuration in force.
    pub(crate) fn dump_configuration(&self) -> Value {
        json!({
            "generation": self.in_force.configuration.generation,
            "change_id": self.in_force.configuration.change_id,
        })
    }

    /// Describes the zone state in force.
    pub(crate) fn dump_zones(&self) -> Value {
        json!({
            "generation": self.in_force.zones.generation,
            "change_id": self.in_force.zones.change_id,
            "out": self.in_force.zones.out,
        })
    }

    /// Describes whether the registers may be relied on.
    pub(crate) fn dump_freshness(&self) -> Value {
        let now = self.shared.clock.now();
        let status = match self.core.freshness(now) {
            FreshnessStatus::Confirmed => "proven",
            FreshnessStatus::Unconfirmed => "unproven",
            FreshnessStatus::Isolated => "isolated",
        };
        let left = self.core.deadline().since(now);
        json!({
            "standing": status,
            "valid_for_ms": u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            "neighbours": self.core.gossip().neighbours().collect::<Vec<_>>(),
        })
    }

    /// Takes in a key of the store; returns whether it holds a register.
    ///
    /// An unusable record counts as what is in force, so that it is neither used nor overwritten.
    fn take_entry(&mut self, entry: &Entry) -> bool {
        match entry.key.as_str() {
            keys::CONFIGURATION => {
                let value = entry.value.as_deref().map(|text| {
                    parse_configuration(text).or_else(|| self.core.configuration().cloned())
                });
                self.in_store.configuration = found(entry, value.flatten());
            }
            keys::ZONES => {
                let value = entry
                    .value
                    .as_deref()
                    .map(|text| parse_zones(text).or_else(|| self.core.zones().cloned()));
                self.in_store.zones = found(entry, value.flatten());
            }
            _ => return false,
        }
        true
    }

    fn perform(&mut self, actions: Vec<RegisterAction>, peers: &mut Peers) {
        for action in actions {
            match action {
                RegisterAction::Send { to, message } => peers.send(&to, &to_wire(&message)),
                RegisterAction::RepairConfiguration(repair) => {
                    let record = records::configuration_record(&repair.value);
                    let record = codec::to_json(&record).unwrap_or_default();
                    self.repair(keys::CONFIGURATION, record, repair.expected_version);
                }
                RegisterAction::RepairZones(repair) => {
                    let record = records::zone_state_record(&repair.value);
                    let record = codec::to_json(&record).unwrap_or_default();
                    self.repair(keys::ZONES, record, repair.expected_version);
                }
            }
        }
        self.take_in_force();
        self.publish_validity();
    }

    /// Writes a newer record back to a store that holds older data; the watch shows the outcome.
    fn repair(&self, key: &'static str, record: String, expected: StoreVersion) {
        event!(StoreRepaired, "key {key}");
        self.shared.metrics.store_calls.with_label_values(&["repair"]).inc();
        let store = self.store.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = store.write(key, record, expected, None).await {
                log::debug!("repair of {key}: {error}");
            }
        });
    }

    /// Notes what came into force.
    fn take_in_force(&mut self) {
        if let Some(cfg) = self.core.configuration()
            && cfg.stamp() != self.in_force.configuration.stamp()
        {
            event!(ConfigurationInForce, "generation {}", cfg.generation);
            self.in_force.configuration = Rc::new(cfg.clone());
            self.has_changed = true;
        }
        if let Some(zones) = self.core.zones()
            && zones.stamp() != self.in_force.zones.stamp()
        {
            event!(ZonesInForce, "generation {}", zones.generation);
            self.in_force.zones = Rc::new(zones.clone());
            self.has_changed = true;
        }
    }

    /// Tells the traffic threads until when they may rely on the registers.
    fn publish_validity(&self) {
        self.shared.validity.set(self.core.deadline(), self.core.is_ready());
    }
}

/// Returns what a key holds; a deleted key has version 0.
fn found<T>(entry: &Entry, value: Option<T>) -> StoredValue<T> {
    let version = if entry.value.is_some() { entry.version } else { 0 };
    StoredValue { value, version: StoreVersion(version) }
}

fn stamp<T: Stamped>(found: &StoredValue<T>) -> Option<Stamp> {
    found.value.as_ref().map(Stamped::stamp)
}

fn parse_configuration(text: &str) -> Option<Configuration> {
    let record = match codec::from_json::<ConfigurationRecord>(text) {
        Ok(record) => record,
        Err(error) => {
            event!(ConfigurationUnusable, "configuration: {error}");
            return None;
        }
    };
    records::configuration(&record)
        .inspect_err(|fault| event!(ConfigurationUnusable, "configuration: {fault}"))
        .ok()
}

fn parse_zones(text: &str) -> Option<ZoneState> {
    let record = codec::from_json::<ZoneStateRecord>(text)
        .inspect_err(|error| event!(ConfigurationUnusable, "zone state: {error}"))
        .ok()?;
    Some(records::zone_state(&record))
}

/// Returns the message of the core, if the peer's message concerns registers.
///
/// An empty text of a register means that none was sent.
fn from_wire(message: &PeerMessage) -> Option<RegisterMessage> {
    let digest = |configuration: u64, zones: u64, check: u64| Digest {
        configuration: Generation(configuration),
        zones: Generation(zones),
        check,
    };
    match message {
        PeerMessage::Ping { nonce, configuration, zones, check } => Some(RegisterMessage::Ping {
            nonce: *nonce,
            digest: digest(*configuration, *zones, *check),
        }),
        PeerMessage::Pong { nonce, configuration, zones, check, awake_ms } => {
            Some(RegisterMessage::Pong {
                nonce: *nonce,
                digest: digest(*configuration, *zones, *check),
                running_for: Duration::from_millis((*awake_ms).into()),
            })
        }
        PeerMessage::Registers { configuration, zones } => Some(RegisterMessage::Registers {
            configuration: Some(configuration)
                .filter(|text| !text.is_empty())
                .and_then(|text| parse_configuration(text)),
            zones: Some(zones).filter(|text| !text.is_empty()).and_then(|text| parse_zones(text)),
        }),
        _ => None,
    }
}

fn to_wire(message: &RegisterMessage) -> PeerMessage {
    match message {
        RegisterMessage::Ping { nonce, digest } => PeerMessage::Ping {
            nonce: *nonce,
            configuration: digest.configuration.get(),
            zones: digest.zones.get(),
            check: digest.check,
        },
        RegisterMessage::Pong { nonce, digest, running_for } => PeerMessage::Pong {
            nonce: *nonce,
            configuration: digest.configuration.get(),
            zones: digest.zones.get(),
            check: digest.check,
            awake_ms: u32::try_from(running_for.as_millis()).unwrap_or(u32::MAX),
        },
        RegisterMessage::Registers { configuration, zones } => {
            let configuration = configuration.as_ref().map(records::configuration_record);
            let zones = zones.as_ref().map(records::zone_state_record);
            PeerMessage::Registers {
                configuration: configuration
                    .map_or_else(String::new, |record| codec::to_json(&record).unwrap_or_default()),
                zones: zones
                    .map_or_else(String::new, |record| codec::to_json(&record).unwrap_or_default()),
            }
        }
    }
}
