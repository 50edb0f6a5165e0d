//! What must hold, judged from what the store accepted and when.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::ZoneState;
use ibiscroft_core::ids::ZoneName;
use ibiscroft_core::register::{Stamp, Stamped};

use super::store::FakeStore;
use super::{Gateway, ZONES};

/// Longest time until an accepted change is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// Accepted changes with their instant, and what each gateway had in force last.
#[derive(Default)]
pub(crate) struct Oracle {
    configurations: Vec<(Tick, Stamp)>,
    zones: Vec<(Tick, ZoneState)>,
    last: Vec<(Option<Stamp>, Option<Stamp>)>,
}

impl Oracle {
    pub(crate) fn on_configuration_accepted(&mut self, stamp: Stamp, now: Tick) {
        let newest = self.configurations.iter().map(|(_, stamp)| stamp).max();
        assert!(Some(&stamp) > newest, "an accepted configuration is older than another");
        self.configurations.push((now, stamp));
    }

    pub(crate) fn on_zones_accepted(&mut self, zones: ZoneState, now: Tick) {
        let newest = self.zones.iter().map(|(_, zones)| zones.stamp()).max();
        assert!(Some(zones.stamp()) > newest, "an accepted zone state is older than another");
        self.zones.push((now, zones));
    }

    /// A replaced gateway starts without memory.
    pub(crate) fn forget(&mut self, index: usize) {
        self.last[index] = (None, None);
    }

    /// No gateway sends new work to a zone that is out for long enough.
    pub(crate) fn check_work(&self, gateways: &[Gateway], now: Tick) {
        for (index, gateway) in gateways.iter().enumerate() {
            if !is_sending(gateway, now) || is_cut_off(gateway, now) {
                continue;
            }
            for zone in ZONES.map(ZoneName::new) {
                let is_out = gateway.registers.zones().is_some_and(|zones| zones.is_out(&zone));
                assert!(
                    is_out || !self.must_be_out(&zone, now),
                    "gw-{index} sends work to {zone} at {now}; accepted: {:?}",
                    self.zones
                );
            }
            let wanted = newest(&self.configurations, now);
            let found = gateway.registers.configuration().map(Stamped::stamp);
            assert!(found >= wanted, "gw-{index} serves {found:?} at {now}, not {wanted:?}");
        }
    }

    /// Nothing reverts, all converge, and an undisturbed gateway serves.
    pub(crate) fn check_gateways(&mut self, gateways: &[Gateway], now: Tick) {
        self.last.resize(gateways.len(), (None, None));
        let zones: Vec<(Tick, Stamp)> =
            self.zones.iter().map(|(at, zones)| (*at, zones.stamp())).collect();
        let wanted = (newest(&self.configurations, now), newest(&zones, now));
        for (index, gateway) in gateways.iter().enumerate() {
            let registers = &gateway.registers;
            let found = (
                registers.configuration().map(Stamped::stamp),
                registers.zones().map(Stamped::stamp),
            );
            let last = &self.last[index];
            assert!(found.0 >= last.0, "configuration of gw-{index} reverted at {now}");
            assert!(found.1 >= last.1, "zone state of gw-{index} reverted at {now}");
            self.last[index] = found.clone();
            let is_steady = !gateway.is_paused
                && !gateway.is_cut
                && now.since(gateway.disturbed_at) > IN_FORCE_WITHIN;
            if !is_steady {
                continue;
            }
            assert!(found.0 >= wanted.0, "gw-{index}: {found:?} at {now}, not {wanted:?}");
            assert!(found.1 >= wanted.1, "gw-{index}: {found:?} at {now}, not {wanted:?}");
            assert!(is_sending(gateway, now), "gw-{index} does not serve at {now}");
        }
    }

    /// Every gateway and the store have the newest accepted state.
    pub(crate) fn check_settled(&self, gateways: &[Gateway], store: &FakeStore) {
        let configuration = self.configurations.iter().map(|(_, stamp)| stamp).max().cloned();
        let zones = self.zones.iter().map(|(_, zones)| zones.stamp()).max();
        assert_eq!(store.configuration.value.as_ref().map(Stamped::stamp), configuration);
        assert_eq!(store.zones.value.as_ref().map(Stamped::stamp), zones);
        for gateway in gateways {
            let registers = &gateway.registers;
            assert_eq!(registers.configuration().map(Stamped::stamp), configuration);
            assert_eq!(registers.zones().map(Stamped::stamp), zones);
        }
    }

    /// Returns whether `zone` was taken out long enough ago and not brought back since.
    fn must_be_out(&self, zone: &ZoneName, now: Tick) -> bool {
        let settled = self.zones.iter().filter(|(at, _)| now.since(*at) > IN_FORCE_WITHIN);
        let Some((_, base)) = settled.max_by_key(|(_, zones)| zones.stamp()) else {
            return false;
        };
        let later = self.zones.iter().filter(|(_, zones)| zones.stamp() >= base.stamp());
        later.into_iter().all(|(_, zones)| zones.is_out(zone))
    }
}

/// Returns the newest change that must be in force everywhere.
fn newest(accepted: &[(Tick, Stamp)], now: Tick) -> Option<Stamp> {
    let settled = accepted.iter().filter(|(at, _)| now.since(*at) > IN_FORCE_WITHIN);
    settled.map(|(_, stamp)| stamp).max().cloned()
}

/// Returns whether the traffic threads send work, by the check right before the send.
fn is_sending(gateway: &Gateway, now: Tick) -> bool {
    !gateway.is_paused && gateway.registers.is_ready() && now <= gateway.registers.deadline()
}

/// Returns whether a gateway has, or had a short while ago, neither store nor any peer.
fn is_cut_off(gateway: &Gateway, now: Tick) -> bool {
    gateway.is_cut || gateway.cut_until.is_some_and(|until| now.since(until) <= IN_FORCE_WITHIN)
}
