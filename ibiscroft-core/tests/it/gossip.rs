//! Tests of `gossip`.

use std::collections::BTreeSet;

use ibiscroft_core::Tick;
use ibiscroft_core::gossip::{
    CONFIGURATION_GRACE, Digest, Gossip, GossipAction, MAX_RESPONSIVE_NEIGHBOURS,
    NEIGHBOUR_TIMEOUT, PING_INTERVAL, ranked_neighbours,
};
use ibiscroft_core::ids::{ChangeId, Generation, InstanceName};
use ibiscroft_core::register::Stamp;

fn names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| InstanceName::new(format!("gw-{index}"))).collect()
}

fn gossip(own: &InstanceName, live: &[InstanceName]) -> Gossip {
    let mut gossip = Gossip::new(own.clone(), 1, Tick::ZERO);
    gossip.set_roster(live, Tick::ZERO);
    gossip
}

fn digest(configuration: u64, zones: u64, change: &str) -> Digest {
    let stamp =
        |generation| Stamp { generation: Generation(generation), change_id: ChangeId::new(change) };
    Digest::new(Some(&stamp(configuration)), Some(&stamp(zones)))
}

#[test]
fn neighbour_graph_reaches_every_gateway_within_six_rounds() {
    for count in [1, 2, 3, 6, 18, 36, 200] {
        let live = names(count);
        let all: Vec<Gossip> = live.iter().map(|own| gossip(own, &live)).collect();
        for gossip in &all {
            assert!(gossip.neighbours().count() <= MAX_RESPONSIVE_NEIGHBOURS);
        }
        let mut reached = BTreeSet::from([live[0].clone()]);
        let mut rounds = 0;
        while reached.len() < count {
            for (own, gossip) in live.iter().zip(&all) {
                if reached.contains(own) {
                    reached.extend(gossip.neighbours().cloned());
                }
            }
            rounds += 1;
            assert!(rounds <= 6, "{count} gateways");
        }
    }
}

#[test]
fn unresponsive_neighbours_are_replaced_and_still_pinged() {
    let live = names(18);
    let mut gossip = gossip(&live[0], &live);
    let mut now = Tick::ZERO;
    let unresponsive: BTreeSet<InstanceName> = gossip.neighbours().cloned().collect();
    while now.since(Tick::ZERO) < NEIGHBOUR_TIMEOUT + PING_INTERVAL * 2 {
        for action in gossip.on_tick(now) {
            let GossipAction::Ping { to, nonce } = action else {
                continue;
            };
            if !unresponsive.contains(&to) {
                assert_eq!(gossip.on_pong(&to, nonce), Some(now));
            }
        }
        now = now + PING_INTERVAL;
    }
    let neighbours: BTreeSet<InstanceName> = gossip.neighbours().cloned().collect();
    assert!(neighbours.is_superset(&unresponsive));
    assert_eq!(neighbours.len(), unresponsive.len() + MAX_RESPONSIVE_NEIGHBOURS);
}

#[test]
fn pong_is_accepted_once_and_only_for_the_last_ping() {
    let live = names(2);
    let mut gossip = gossip(&live[0], &live);
    let first = gossip.on_tick(Tick::ZERO);
    assert_eq!(first, [GossipAction::Ping { to: live[1].clone(), nonce: 1 }]);
    assert!(gossip.on_tick(Tick::from_millis(1)).is_empty());
    gossip.ping_all(Tick::from_millis(2));
    assert_eq!(gossip.on_pong(&live[1], 1), None);
    assert_eq!(gossip.on_pong(&live[1], 2), Some(Tick::from_millis(2)));
    assert_eq!(gossip.on_pong(&live[1], 2), None);
}

/// A peer's digest, and whether it is sent the configuration and the zone state.
struct Case {
    theirs: Digest,
    configuration_age_ms: u64,
    sent: Option<(bool, bool)>,
}

#[test]
fn peers_receive_the_registers_of_which_they_have_older_generations() {
    let live = names(2);
    let gossip = gossip(&live[0], &live);
    let grace = u64::try_from(CONFIGURATION_GRACE.as_millis()).unwrap();
    let ours = digest(5, 5, "a");
    let cases = [
        Case { theirs: ours, configuration_age_ms: grace, sent: None },
        Case { theirs: digest(6, 6, "b"), configuration_age_ms: grace, sent: None },
        Case { theirs: digest(5, 4, "a"), configuration_age_ms: 0, sent: Some((false, true)) },
        Case { theirs: digest(4, 5, "a"), configuration_age_ms: 0, sent: None },
        Case { theirs: digest(3, 5, "a"), configuration_age_ms: 0, sent: Some((true, false)) },
        Case { theirs: digest(4, 5, "a"), configuration_age_ms: grace, sent: Some((true, false)) },
        Case { theirs: digest(4, 6, "b"), configuration_age_ms: grace, sent: Some((true, false)) },
        Case { theirs: digest(5, 5, "b"), configuration_age_ms: grace, sent: Some((true, true)) },
    ];
    for case in cases {
        let now = Tick::from_millis(case.configuration_age_ms);
        let actual = gossip.on_digest(&live[1], &case.theirs, &ours, Tick::ZERO, now);
        let expected = case.sent.map(|(configuration, zones)| GossipAction::SendRegisters {
            to: live[1].clone(),
            configuration,
            zones,
        });
        assert_eq!(actual, expected, "{:?}", case.theirs);
    }
}

#[test]
fn message_is_forwarded_to_all_neighbours_except_its_sender() {
    let live = names(18);
    let gossip = gossip(&live[0], &live);
    let from = gossip.neighbours().next().unwrap().clone();
    let recipients: Vec<&InstanceName> = gossip.neighbours_except(Some(&from)).collect();
    assert_eq!(recipients.len(), MAX_RESPONSIVE_NEIGHBOURS - 1);
    assert!(!recipients.contains(&&from));
    assert_eq!(gossip.neighbours_except(None).count(), MAX_RESPONSIVE_NEIGHBOURS);
    assert_eq!(ranked_neighbours(&live[0], &live).len(), 17);
}
