//! The store returns from an older copy: a new era.

mod fleet_model;
mod orders;
mod store_model;

use std::time::Duration;

use ibiscroft_core::fleet::{Change, Era, Position, Relay, Target, TargetState, Update, View};
use ibiscroft_core::ids::{Generation, InstanceName, ServiceName, TargetName, ZoneName};

use super::world::{configuration, delta, full, member, position, target};
use crate::support::at;

fn in_era(era: u64, update: Update) -> Update {
    Update { era: Era(era), ..update }
}

fn usable(view: &View) -> Vec<String> {
    let service = ServiceName::new("register");
    view.usable_targets(&service).map(|target| target.name.to_string()).collect()
}

fn entry(name: &str, state: TargetState, incarnation: u64, sequence: u64) -> Change {
    let incarnation = ibiscroft_core::fleet::Incarnation(incarnation);
    Change::Target(Target { state, incarnation, sequence, ..target(name, "a") })
}

fn ready(sequence: u64) -> Change {
    entry("t1", TargetState::Ready, 1, sequence)
}

fn gone() -> Change {
    Change::TargetGone(TargetName::new("t1"))
}

fn config(version: u64) -> Change {
    Change::Configuration(Box::new(configuration(version, vec![])))
}

#[test]
fn positions_order_by_era_and_then_by_revision() {
    let ordered =
        [position(0, 0), position(0, 57), position(1, 0), position(1, 40), position(2, 3)];
    assert!(ordered.is_sorted_by(|a, b| a < b));
    for (position, text) in ordered.into_iter().zip(["0", "57", "1:0", "1:40", "2:3"]) {
        assert_eq!(position.to_string(), text);
        assert_eq!(text.parse(), Ok(position));
    }
    assert!("1:".parse::<Position>().is_err() && ":4".parse::<Position>().is_err());
    assert_eq!(Position::UNKNOWN, position(0, 0));
}

/// Guards against a fleet whose gateways cannot decode each other's updates while some of them run
/// the former version: the first era is encoded as before.
#[test]
fn update_of_the_first_era_is_encoded_without_it() {
    let text = serde_json::to_string(&full(3, vec![])).unwrap();
    assert!(!text.contains("era"), "{text}");
    assert_eq!(serde_json::from_str::<Update>(&text).unwrap(), full(3, vec![]));
    let later = in_era(2, full(3, vec![]));
    let decoded: Update = serde_json::from_str(&serde_json::to_string(&later).unwrap()).unwrap();
    assert_eq!(decoded, later);
}

/// Guards against views that take the history of another era for their own.
#[test]
fn update_takes_effect_only_if_it_is_later_and_leads_to_its_era() {
    struct Case {
        name: &'static str,
        update: Update,
        is_contiguous: bool,
        reached: Position,
    }
    let since =
        |since, update: Update| Update { since: ibiscroft_core::fleet::Revision(since), ..update };
    let cases = [
        Case {
            name: "late listing of the older era with a higher revision",
            update: in_era(1, full(99, vec![gone()])),
            is_contiguous: true,
            reached: position(2, 40),
        },
        Case {
            name: "late changes of the older era",
            update: in_era(1, since(57, delta(99, vec![gone()]))),
            is_contiguous: true,
            reached: position(2, 40),
        },
        Case {
            name: "changes of this era",
            update: in_era(2, since(40, delta(41, vec![]))),
            is_contiguous: true,
            reached: position(2, 41),
        },
        Case {
            name: "changes of this era after a gap",
            update: in_era(2, since(41, delta(42, vec![]))),
            is_contiguous: false,
            reached: position(2, 42),
        },
        Case {
            name: "changes of a newer era that begin at the same revision",
            update: in_era(3, since(40, delta(41, vec![gone()]))),
            is_contiguous: false,
            reached: position(2, 40),
        },
        Case {
            name: "listing of a newer era with a lower revision",
            update: in_era(3, full(7, vec![ready(1)])),
            is_contiguous: true,
            reached: position(3, 7),
        },
        Case {
            name: "listing after two more eras, the store being empty",
            update: in_era(4, full(0, vec![ready(1)])),
            is_contiguous: true,
            reached: position(4, 0),
        },
    ];
    for case in cases {
        let mut view = View::default();
        view.apply(at(0), in_era(2, full(40, vec![ready(1)])));
        assert_eq!(view.is_contiguous_with(&case.update), case.is_contiguous, "{}", case.name);
        view.apply(at(1), case.update);
        assert_eq!(view.position(), case.reached, "{}", case.name);
        assert_eq!(usable(&view), ["t1"], "{}", case.name);
    }
}

/// Guards against targets that get requests again after they left, because the copy still lists
/// them, and against targets that get none though they have come back.
#[test]
fn departures_stay_as_seen_until_the_store_shows_a_later_registration() {
    struct Case {
        name: &'static str,
        /// Changes of the old era after the registration with sequence 3.
        seen: Vec<Change>,
        /// The copy's entry.
        copy: Vec<Change>,
        is_usable: bool,
        /// Changes of the new era after the listing.
        later: Vec<Change>,
        is_usable_later: bool,
    }
    let draining = || entry("t1", TargetState::Draining, 1, 4);
    let cases = [
        Case {
            name: "draining, ready in the copy",
            seen: vec![draining()],
            copy: vec![ready(3)],
            is_usable: false,
            later: vec![ready(5)],
            is_usable_later: true,
        },
        Case {
            name: "draining, not in the copy",
            seen: vec![draining()],
            copy: vec![],
            is_usable: false,
            later: vec![],
            is_usable_later: false,
        },
        Case {
            name: "draining and gone, ready in the copy",
            seen: vec![draining(), gone()],
            copy: vec![ready(3)],
            is_usable: false,
            later: vec![],
            is_usable_later: false,
        },
        Case {
            name: "gone, ready in the copy",
            seen: vec![gone()],
            copy: vec![ready(3)],
            is_usable: false,
            later: vec![ready(4)],
            is_usable_later: true,
        },
        Case {
            name: "gone, the copy shows an earlier run",
            seen: vec![gone()],
            copy: vec![entry("t1", TargetState::Ready, 0, 9)],
            is_usable: false,
            later: vec![entry("t1", TargetState::Ready, 2, 1)],
            is_usable_later: true,
        },
        Case {
            name: "gone, but already registered again when the store is listed",
            seen: vec![gone()],
            copy: vec![ready(4)],
            is_usable: true,
            later: vec![],
            is_usable_later: true,
        },
        Case {
            name: "gone, and the same registration is written again in the new era",
            seen: vec![gone()],
            copy: vec![],
            is_usable: false,
            later: vec![ready(3)],
            is_usable_later: true,
        },
        Case {
            name: "ready, an earlier registration in the copy",
            seen: vec![],
            copy: vec![ready(1)],
            is_usable: true,
            later: vec![gone()],
            is_usable_later: false,
        },
    ];
    for case in cases {
        let mut view = View::default();
        view.apply(at(0), full(50, vec![ready(3)]));
        view.apply(at(1), delta(57, case.seen));
        view.apply(at(2), in_era(1, full(40, case.copy.clone())));
        assert_eq!(!usable(&view).is_empty(), case.is_usable, "{}", case.name);
        // The store loses its history, and the next listing shows the same again.
        view.apply(at(3_000), in_era(1, full(41, case.copy)));
        view.expire(at(3_000));
        assert_eq!(!usable(&view).is_empty(), case.is_usable, "{}, listed again", case.name);
        view.apply(at(3_001), in_era(1, delta(42, case.later)));
        view.expire(at(9_000));
        assert_eq!(!usable(&view).is_empty(), case.is_usable_later, "{}, later", case.name);
    }
}

/// Pattern: a source that has seen the target leave too leaves it out of its full view, and the
/// store, listed later in the same era, still shows the copy's entry.
#[test]
fn older_registration_is_not_taken_from_a_later_listing_of_the_era() {
    let draining = entry("t1", TargetState::Draining, 1, 4);
    for (name, seen) in [("draining", vec![draining.clone()]), ("lost", vec![draining, ready(8)])] {
        let mut view = View::default();
        view.apply(at(0), full(50, vec![ready(3)]));
        for (change, revision) in seen.into_iter().zip(51..) {
            view.apply(at(1), delta(revision, vec![change]));
        }
        view.apply(at(2), in_era(1, full(40, vec![])));
        view.expire(at(3_000));
        assert!(usable(&view).is_empty(), "{name}");
        view.apply(at(3_001), in_era(1, full(41, vec![ready(3)])));
        assert!(usable(&view).is_empty(), "{name}, listed");
    }
}

/// Guards against followers that keep a target that the store lost for good, or remove one that has
/// registered again: all must see its end, also while the gateway that reads the store keeps it.
#[test]
fn end_of_a_target_is_forwarded_in_the_grace_period_of_an_era() {
    let mut view = View::default();
    let mut relay = Relay::default();
    view.apply(at(0), full(50, vec![ready(3)]));
    let listing = in_era(1, full(40, vec![ready(3)]));
    let mut forwarded = Vec::new();
    let updates = [
        (100, listing),
        (200, in_era(1, delta(41, vec![]))),
        (300, in_era(1, delta(42, vec![gone()]))),
        (400, in_era(1, delta(43, vec![gone(), ready(4)]))),
    ];
    for (ms, update) in updates {
        let applied = view.apply(at(ms), update.clone());
        forwarded.push(relay.changes_to_forward(&view, &update, &applied));
        assert_eq!(usable(&view), ["t1"], "after {ms} ms");
    }
    assert_eq!(forwarded[2..], [vec![gone()], vec![gone(), ready(4)]]);
}

#[test]
fn what_the_copy_lacks_is_kept_for_its_time() {
    let mut view = View::default();
    let known = vec![
        config(9),
        ready(3),
        Change::Member(member("g1", "a", 1)),
        Change::Gateways(ibiscroft_core::fleet::GatewayCount(7)),
    ];
    view.apply(at(0), full(50, known));
    let applied = view.apply(at(10_000), in_era(1, full(40, vec![config(4)])));
    assert!(applied.is_empty(), "{applied:?}");
    assert_eq!(view.configuration_version(), Generation(9));
    assert_eq!(view.gateway_count(), None, "the number of gateways is to be written again");
    assert_eq!((usable(&view).len(), view.member_count()), (1, 1));
    assert!(view.expire(at(11_999)).is_empty());
    assert_eq!(view.expire(at(12_000)), [gone(), Change::MemberGone(InstanceName::new("g1")),]);
    assert_eq!((usable(&view).len(), view.member_count()), (0, 0));
}

/// Guards against followers that remove a target at the end of their own grace period, because the
/// gateway that reads the store does not forward a registration that it knew before.
#[test]
fn renewed_registration_of_a_lapsed_entry_is_a_change() {
    let mut view = View::default();
    let gateway = Change::Member(member("g1", "a", 1));
    view.apply(at(0), full(50, vec![ready(3), gateway.clone()]));
    view.apply(at(10_000), in_era(1, full(40, vec![])));
    let renewed = vec![ready(4), gateway];
    assert_eq!(view.apply(at(10_500), in_era(1, delta(41, renewed.clone()))), renewed);
    assert!(view.expire(at(12_000)).is_empty());
    assert_eq!((usable(&view).len(), view.member_count()), (1, 1));
}

/// Guards against requests to an evacuated zone because the store lost the evacuation, and against
/// an evacuation that no operator can end.
#[test]
fn lost_evacuation_stays_in_force_until_it_is_decided_or_its_time_ends() {
    struct Case {
        name: &'static str,
        listed: bool,
        /// Changes of the new era with their instants, in milliseconds after the listing.
        later: Vec<(u64, Change)>,
        /// Instant from which the zone is in use again.
        ends_at_ms: Option<u64>,
    }
    let out = || Change::ZoneOut(ZoneName::new("a"));
    let back = || Change::ZoneIn(ZoneName::new("a"));
    let cases = [
        Case { name: "in the copy", listed: true, later: vec![], ends_at_ms: None },
        Case { name: "lost", listed: false, later: vec![], ends_at_ms: Some(30_000) },
        Case {
            name: "lost and written again",
            listed: false,
            later: vec![(5_000, out())],
            ends_at_ms: None,
        },
        Case {
            name: "lost and ended by the operator",
            listed: false,
            later: vec![(5_000, back())],
            ends_at_ms: Some(5_000),
        },
        Case {
            name: "lost, written again and ended",
            listed: false,
            later: vec![(5_000, out()), (9_000, back())],
            ends_at_ms: Some(9_000),
        },
    ];
    for case in cases {
        let mut view = View::default();
        view.apply(at(0), full(50, vec![ready(1), out()]));
        let listed = if case.listed { vec![ready(1), out()] } else { vec![ready(1)] };
        view.apply(at(1_000), in_era(1, full(40, listed)));
        let mut later = case.later.into_iter().peekable();
        for ms in (0..40_000).step_by(500) {
            if let Some((_, change)) = later.next_if(|(due_ms, _)| *due_ms <= ms) {
                view.apply(at(1_000 + ms), in_era(1, delta(41 + ms, vec![change])));
            }
            view.expire(at(1_000 + ms));
            let is_back = case.ends_at_ms.is_some_and(|end| ms >= end);
            assert_eq!(!usable(&view).is_empty(), is_back, "{} after {ms} ms", case.name);
            assert_eq!(view.zones_out().count(), usize::from(!is_back), "{} at {ms}", case.name);
        }
    }
}

/// Evacuations that the store lost are no part of what a gateway passes on: a follower that takes
/// one for the store's word would keep it for good if the gateway stops before it ends.
#[test]
fn lost_evacuation_is_not_passed_on() {
    let mut view = View::default();
    view.apply(at(0), full(50, vec![Change::ZoneOut(ZoneName::new("a"))]));
    view.apply(at(1), in_era(1, full(40, vec![])));
    assert!(view.to_full_update(Duration::ZERO).changes.is_empty());
}
