//! Checks of the gateways against the changes that the store accepted, and when it did.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::ZoneState;
use ibiscroft_core::ids::ZoneName;
use ibiscroft_core::register::{Stamp, Stamped};

use super::store::FakeStore;
use super::{Gateway, ZONES};

/// Longest time until an accepted change is in force on every gateway.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Accepted changes with their time, and what each gateway had in force at the last check.
#[derive(Default)]
pub(crate) struct Oracle {
    configurations: Vec<(Tick, Stamp)>,
    zones: Vec<(Tick, ZoneState)>,
    last: Vec<(Option<Stamp>, Option<Stamp>)>,
}

impl Oracle {
    pub(crate) fn on_configuration_accepted(&mut self, stamp: Stamp, now: Tick) {
        let newest = self.configurations.iter().map(|(_, stamp)| stamp).max();
        assert!(Some(&stamp) > newest, "accepted configuration is not newer than all before it");
        self.configurations.push((now, stamp));
    }

    pub(crate) fn on_zones_accepted(&mut self, zones: ZoneState, now: Tick) {
        let newest = self.zones.iter().map(|(_, zones)| zones.stamp()).max();
        assert!(
            Some(zones.stamp()) > newest,
            "accepted zone state is not newer than all before it"
        );
        self.zones.push((now, zones));
    }

    /// Expects nothing in force on a gateway that was restarted.
    pub(crate) fn on_restart(&mut self, index: usize) {
        self.last[index] = (None, None);
    }

    /// Checks that no gateway sends work on a state older than [`PROPAGATION_LIMIT`] allows.
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
            let expected = newest(&self.configurations, now);
            let actual = gateway.registers.configuration().map(Stamped::stamp);
            assert!(actual >= expected, "gw-{index} serves {actual:?} at {now}, not {expected:?}");
        }
    }

    /// Checks that no register reverts, and that gateways without a recent fault are up to date
    /// and send work.
    pub(crate) fn check_gateways(&mut self, gateways: &[Gateway], now: Tick) {
        self.last.resize(gateways.len(), (None, None));
        let zones: Vec<(Tick, Stamp)> =
            self.zones.iter().map(|(at, zones)| (*at, zones.stamp())).collect();
        let expected = (newest(&self.configurations, now), newest(&zones, now));
        for (index, gateway) in gateways.iter().enumerate() {
            let registers = &gateway.registers;
            let actual = (
                registers.configuration().map(Stamped::stamp),
                registers.zones().map(Stamped::stamp),
            );
            let last = &self.last[index];
            assert!(actual.0 >= last.0, "configuration of gw-{index} reverted at {now}");
            assert!(actual.1 >= last.1, "zone state of gw-{index} reverted at {now}");
            self.last[index] = actual.clone();
            let is_steady = !gateway.is_paused
                && !gateway.is_cut
                && now.since(gateway.last_fault_change) > PROPAGATION_LIMIT;
            if !is_steady {
                continue;
            }
            assert!(actual.0 >= expected.0, "gw-{index}: {actual:?} at {now}, not {expected:?}");
            assert!(actual.1 >= expected.1, "gw-{index}: {actual:?} at {now}, not {expected:?}");
            assert!(is_sending(gateway, now), "gw-{index} does not send work at {now}");
        }
    }

    /// Checks that every gateway and the store have the newest accepted state.
    pub(crate) fn check_converged(&self, gateways: &[Gateway], store: &FakeStore) {
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

    /// Returns whether the newest zone state that must be in force takes `zone` out of service,
    /// and no later one puts it back.
    fn must_be_out(&self, zone: &ZoneName, now: Tick) -> bool {
        let propagated = self.zones.iter().filter(|(at, _)| now.since(*at) > PROPAGATION_LIMIT);
        let Some((_, base)) = propagated.max_by_key(|(_, zones)| zones.stamp()) else {
            return false;
        };
        let later = self.zones.iter().filter(|(_, zones)| zones.stamp() >= base.stamp());
        later.into_iter().all(|(_, zones)| zones.is_out(zone))
    }
}

/// Returns the newest change that must be in force on every gateway.
fn newest(accepted: &[(Tick, Stamp)], now: Tick) -> Option<Stamp> {
    let propagated = accepted.iter().filter(|(at, _)| now.since(*at) > PROPAGATION_LIMIT);
    propagated.map(|(_, stamp)| stamp).max().cloned()
}

/// Returns whether the traffic threads send work, by the check of the deadline before each send.
fn is_sending(gateway: &Gateway, now: Tick) -> bool {
    !gateway.is_paused && gateway.registers.is_ready() && now <= gateway.registers.deadline()
}

/// Returns whether a gateway reaches neither the store nor any peer, or did not until recently.
fn is_cut_off(gateway: &Gateway, now: Tick) -> bool {
    gateway.is_cut || gateway.last_cut_change.is_some_and(|at| now.since(at) <= PROPAGATION_LIMIT)
}
