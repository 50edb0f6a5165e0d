//! The configuration and the zone state in force.

use ibiscroft_core::config::{Configuration, ZoneState};
use ibiscroft_core::ids::Generation;
use ibiscroft_wire::generated::configuration::{ConfigurationRecord, ZoneStateRecord};
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::{codec, keys, records};
use serde_json::{Value, json};

use crate::events::event;

/// Registers in force; their generations only rise.
#[derive(Debug)]
pub(crate) struct Registers {
    configuration: Configuration,
    zones: ZoneState,
    changed: bool,
}

impl Default for Registers {
    fn default() -> Self {
        Self { configuration: Configuration::empty(), zones: ZoneState::empty(), changed: false }
    }
}

impl Registers {
    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the zone state in force.
    pub(crate) fn zones(&self) -> &ZoneState {
        &self.zones
    }

    /// Returns the generation of the configuration in force.
    pub(crate) fn configuration_generation(&self) -> Generation {
        self.configuration.generation
    }

    /// Returns the generation of the zone state in force.
    pub(crate) fn zones_generation(&self) -> Generation {
        self.zones.generation
    }

    /// Returns whether anything came into force since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes in a key of the store.
    pub(crate) fn on_entry(&mut self, key: &str, value: &str) {
        match key {
            keys::CONFIGURATION => self.offer_configuration(value),
            keys::ZONES => self.offer_zones(value),
            _ => {}
        }
    }

    /// Takes in records from a peer; an empty text means that none was sent.
    pub(crate) fn on_peer_records(&mut self, configuration: &str, zones: &str) {
        if !configuration.is_empty() {
            self.offer_configuration(configuration);
        }
        if !zones.is_empty() {
            self.offer_zones(zones);
        }
    }

    /// Returns a message with the records that are newer than the given generations.
    pub(crate) fn newer_than(&self, configuration: u64, zones: u64) -> Option<PeerMessage> {
        let newer_configuration = self.configuration.generation.get() > configuration;
        let newer_zones = self.zones.generation.get() > zones;
        if !newer_configuration && !newer_zones {
            return None;
        }
        let mut message = (String::new(), String::new());
        if newer_configuration {
            let record = records::configuration_record(&self.configuration);
            message.0 = codec::to_json(&record).unwrap_or_default();
        }
        if newer_zones {
            let record = records::zone_state_record(&self.zones);
            message.1 = codec::to_json(&record).unwrap_or_default();
        }
        Some(PeerMessage::Registers { configuration: message.0, zones: message.1 })
    }

    /// Describes the configuration in force.
    pub(crate) fn dump_configuration(&self) -> Value {
        json!({
            "generation": self.configuration.generation,
            "change_id": self.configuration.change_id,
        })
    }

    /// Describes the zone state in force.
    pub(crate) fn dump_zones(&self) -> Value {
        json!({
            "generation": self.zones.generation,
            "change_id": self.zones.change_id,
            "out": self.zones.out,
        })
    }

    fn offer_configuration(&mut self, text: &str) {
        let record: ConfigurationRecord = match codec::from_json(text) {
            Ok(record) => record,
            Err(error) => {
                event!(ConfigurationUnusable, "configuration: {error}");
                return;
            }
        };
        if record.generation <= self.configuration.generation.get() {
            if record.generation < self.configuration.generation.get() {
                event!(OlderRegisterIgnored, "configuration generation {}", record.generation);
            }
            return;
        }
        match records::configuration(&record) {
            Ok(cfg) => {
                event!(ConfigurationInForce, "generation {}", cfg.generation);
                self.configuration = cfg;
                self.changed = true;
            }
            Err(fault) => event!(ConfigurationUnusable, "configuration: {fault}"),
        }
    }

    fn offer_zones(&mut self, text: &str) {
        let record: ZoneStateRecord = match codec::from_json(text) {
            Ok(record) => record,
            Err(error) => {
                event!(ConfigurationUnusable, "zone state: {error}");
                return;
            }
        };
        if record.generation <= self.zones.generation.get() {
            if record.generation < self.zones.generation.get() {
                event!(OlderRegisterIgnored, "zone state generation {}", record.generation);
            }
            return;
        }
        self.zones = records::zone_state(&record);
        self.changed = true;
        event!(ZonesInForce, "generation {}", self.zones.generation);
    }
}
