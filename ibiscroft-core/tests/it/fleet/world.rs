//! Builders of targets, gateways, configurations and updates for the tests of `fleet`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_core::fleet::{
    CallerLimits, Change, Configuration, Era, GatewayCapacity, Incarnation, Member, Position,
    Repeatable, Revision, Route, Share, Target, TargetState, Update,
};
use ibiscroft_core::ids::{Generation, InstanceName, ServiceName, Slots, TargetName, ZoneName};

pub(super) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 8080))
}

pub(super) fn target(name: &str, zone: &str) -> Target {
    Target {
        name: TargetName::new(name),
        service: ServiceName::new("register"),
        address: address(1),
        zone: ZoneName::new(zone),
        slots: Slots(6),
        state: TargetState::Ready,
        incarnation: Incarnation(1),
        sequence: 1,
        cold_left: Duration::ZERO,
    }
}

pub(super) fn member(name: &str, zone: &str, capacity: u64) -> Member {
    Member {
        name: InstanceName::new(name),
        zone: ZoneName::new(zone),
        address: address(2),
        capacity: GatewayCapacity(capacity),
    }
}

pub(super) fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, f64)]) -> Route {
    Route {
        name: name.to_string(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        repeatable: Repeatable::Yes,
        timeout: Duration::from_millis(500),
        aim: Duration::from_millis(200),
        priority: 2,
        shares: shares
            .iter()
            .map(|(service, weight)| Share { service: ServiceName::new(*service), weight: *weight })
            .collect(),
        max_attempts: 2,
        is_public: false,
    }
}

pub(super) fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Configuration::new(Generation(version), routes, BTreeMap::new(), limits)
}

pub(super) fn full(revision: u64, changes: Vec<Change>) -> Update {
    Update {
        era: Era(0),
        since: Revision(0),
        revision: Revision(revision),
        is_full: true,
        is_difference: false,
        changes,
        hints: Vec::new(),
        age: Duration::ZERO,
    }
}

pub(super) fn position(era: u64, revision: u64) -> Position {
    Position { era: Era(era), revision: Revision(revision) }
}

pub(super) fn delta(revision: u64, changes: Vec<Change>) -> Update {
    Update { is_full: false, ..full(revision, changes) }
}
