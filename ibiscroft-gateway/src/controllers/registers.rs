//! Controller of the registers: the configuration and the zone state in force.

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

/// Registers of this gateway; the generations in force never decrease.
#[derive(Debug)]
pub(crate) struct Registers {
    core: core::Registers,
    shared: Arc<Shared>,
    store: StoreClient,
    store_state: StoreState,
    is_store_lost: bool,
    in_force: InForce,
    has_changed: bool,
}

/// The registers in the store, as last reported by the watch.
#[derive(Debug, Default)]
struct StoreState {
    configuration: StoredValue<Configuration>,
    zones: StoredValue<ZoneState>,
}

/// The values in force; empty until a value is accepted.
#[derive(Debug)]
struct InForce {
    configuration: Rc<Configuration>,
    zones: Rc<ZoneState>,
}

impl Registers {
    /// Creates the registers of the gateway `own_name`, with nothing in force.
    pub(crate) fn new(shared: Arc<Shared>, store: StoreClient, own_name: InstanceName) -> Self {
        let now = shared.clock.now();
        Self {
            core: core::Registers::new(own_name, rand::random(), now),
            shared,
            store,
            store_state: StoreState::default(),
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

    /// Returns whether a value came into force since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns whether this gateway may serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Returns the gossip neighbours of this gateway except `from`, to forward notifications to.
    pub(crate) fn neighbours_except(&self, from: Option<&InstanceName>) -> Vec<InstanceName> {
        self.core.gossip().neighbours_except(from).cloned().collect()
    }

    /// Sets the names of the live gateways.
    pub(crate) fn set_roster(&mut self, live: Vec<InstanceName>) {
        self.core.set_roster(live, self.shared.clock.now());
    }

    /// Handles the entries in the response to a watch that was sent at `sent_at`.
    ///
    /// A full response lists all keys, so a key that it lacks does not exist.
    pub(crate) fn on_watch(
        &mut self,
        entries: &[Entry],
        is_full: bool,
        sent_at: Tick,
        peers: &mut Peers,
    ) {
        let mut has_changes = is_full || std::mem::take(&mut self.is_store_lost);
        if is_full {
            self.store_state = StoreState::default();
        }
        for entry in entries {
            has_changes |= self.on_entry(entry);
        }
        let now = self.shared.clock.now();
        if !has_changes {
            self.core.on_store_unchanged(sent_at, now);
            return self.publish_validity();
        }
        let StoreState { configuration, zones } = &self.store_state;
        for (stored, in_force, name) in [
            (stamp(configuration), self.core.configuration().map(Stamped::stamp), "configuration"),
            (stamp(zones), self.core.zones().map(Stamped::stamp), "zone state"),
        ] {
            if stored < in_force {
                event!(OlderRegisterIgnored, "{name} in the store");
            }
        }
        let actions = self.core.on_store(configuration, zones, sent_at, now);
        self.perform(actions, peers);
    }

    /// Handles a failed watch of the store.
    pub(crate) fn on_store_lost(&mut self) {
        self.is_store_lost = true;
        self.core.on_store_lost();
    }

    /// Handles a message from a peer; returns whether it concerns registers.
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

    /// Sends the pings and repairs the registers in the store that are due.
    pub(crate) fn on_tick(&mut self, peers: &mut Peers) {
        let now = self.shared.clock.now();
        let actions = self.core.on_tick(now);
        self.perform(actions, peers);
    }

    /// Describes the configuration in force, for the dump.
    pub(crate) fn dump_configuration(&self) -> Value {
        json!({
            "generation": self.in_force.configuration.generation,
            "change_id": self.in_force.configuration.change_id,
        })
    }

    /// Describes the zone state in force, for the dump.
    pub(crate) fn dump_zones(&self) -> Value {
        json!({
            "generation": self.in_force.zones.generation,
            "change_id": self.in_force.zones.change_id,
            "out": self.in_force.zones.out,
        })
    }

    /// Describes the freshness of the registers, for the dump.
    pub(crate) fn dump_freshness(&self) -> Value {
        let now = self.shared.clock.now();
        let status = match self.core.freshness(now) {
            FreshnessStatus::Confirmed => "proven",
            FreshnessStatus::Unconfirmed => "unproven",
            FreshnessStatus::Isolated => "isolated",
        };
        let remaining = self.core.deadline().since(now);
        json!({
            "standing": status,
            "valid_for_ms": u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            "neighbours": self.core.gossip().neighbours().collect::<Vec<_>>(),
        })
    }

    /// Handles an entry of the store; returns whether it holds a register.
    ///
    /// A malformed record is treated like the value in force, so that it is neither used nor
    /// overwritten.
    fn on_entry(&mut self, entry: &Entry) -> bool {
        match entry.key.as_str() {
            keys::CONFIGURATION => {
                let value = entry.value.as_deref().map(|text| {
                    parse_configuration(text).or_else(|| self.core.configuration().cloned())
                });
                self.store_state.configuration = stored_value(entry, value.flatten());
            }
            keys::ZONES => {
                let value = entry
                    .value
                    .as_deref()
                    .map(|text| parse_zones(text).or_else(|| self.core.zones().cloned()));
                self.store_state.zones = stored_value(entry, value.flatten());
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
        self.update_in_force();
        self.publish_validity();
    }

    /// Writes the newer record to a store that holds an older one; the watch reports the result.
    fn repair(&self, key: &'static str, record: String, expected: StoreVersion) {
        event!(StoreRepaired, "key {key}");
        self.shared.metrics.store_calls.with_label_values(&["repair"]).inc();
        let store = self.store.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = store.write(key, record, expected, None).await {
                log::debug!("write of {key} to repair the store failed: {error}");
            }
        });
    }

    /// Updates and logs the values in force after the core accepted new ones.
    fn update_in_force(&mut self) {
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

    /// Publishes to the traffic threads until when they may rely on the registers.
    fn publish_validity(&self) {
        let is_confirmed =
            self.core.freshness(self.shared.clock.now()) == FreshnessStatus::Confirmed;
        self.shared.validity.set(self.core.deadline(), self.core.is_ready(), is_confirmed);
    }
}

/// Returns the value and version of a key; a deleted key has version 0.
fn stored_value<T>(entry: &Entry, value: Option<T>) -> StoredValue<T> {
    let version = if entry.value.is_some() { entry.version } else { 0 };
    StoredValue { value, version: StoreVersion(version) }
}

fn stamp<T: Stamped>(stored: &StoredValue<T>) -> Option<Stamp> {
    stored.value.as_ref().map(Stamped::stamp)
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

/// Returns the core's form of a peer's message if it concerns registers.
///
/// An empty text for a register means that the peer did not send it.
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
