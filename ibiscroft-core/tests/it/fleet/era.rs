//! The store returns from an older copy: a new era.

mod fleet_model;
mod store_model;

use std::time::Duration;

use ibiscroft_core::fleet::{Change, Era, Position, Target, TargetState, Update, View};
use ibiscroft_core::ids::{Generation, InstanceName, ServiceName, TargetName, ZoneName};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use self::fleet_model::{Fleet, READER};
use super::world::{configuration, delta, full, member, position, target};
use crate::support::at;

/// Number of random runs.
const RUNS: u64 = 300;
/// Number of steps in a random run.
const STEPS: usize = 120;

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

/// What happens to the fleet in a case.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store returns from the copy that was taken at the start.
    Restore,
    /// Revisions are given out for keys without meaning.
    Writes(u64),
    /// The gateway reads the store, and its followers receive the update.
    Read(usize),
    /// The gateway reads the store, whose response is delayed.
    BeginRead(usize),
    /// The delayed response arrives.
    EndRead(usize),
    /// The gateway loses its connection to its source.
    CutOff(usize),
    /// The gateway connects to this source.
    Follow(usize, usize),
}

#[test]
fn all_gateways_reach_the_new_era_in_any_order() {
    use Step::{BeginRead, CutOff, EndRead, Follow, Read, Restore, Writes};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    // Gateway 0 reads the store, 1 and 2 follow it, 3 follows 1.
    let cases = [
        Case { name: "reader first", steps: &[Restore, Read(0)] },
        Case { name: "follower of the reader first", steps: &[Restore, Read(1), Read(0)] },
        Case { name: "last follower first", steps: &[Restore, Read(3), Read(1), Read(0)] },
        Case {
            name: "late response of the older era at the reader",
            steps: &[BeginRead(0), Restore, CutOff(1), Read(1), Follow(0, 1), EndRead(0)],
        },
        Case {
            name: "late response of the older era at a follower",
            steps: &[BeginRead(3), Restore, Read(0), EndRead(3)],
        },
        Case {
            name: "late response of the new era after a newer one",
            steps: &[Restore, BeginRead(2), Restore, Read(0), EndRead(2)],
        },
        Case {
            name: "a part is cut off over the change and follows again",
            steps: &[CutOff(1), Restore, Read(0), Writes(3), Read(0), Follow(1, 0)],
        },
        Case {
            name: "a part follows a source of the older era",
            steps: &[Restore, CutOff(0), CutOff(2), Read(2), Follow(2, 1), Read(0)],
        },
        Case {
            name: "revisions given out again past those of the views",
            steps: &[Restore, Writes(200), Read(0)],
        },
        Case {
            name: "revisions given out again to those of the views, changes first",
            steps: &[Restore, Writes(4), CutOff(3), Read(3), Follow(3, 1), Read(0)],
        },
        Case { name: "two eras in a row", steps: &[Restore, Writes(9), Restore, Read(0)] },
        Case {
            name: "two eras in a row, each seen by another gateway",
            steps: &[Restore, Read(1), Writes(30), Restore, Read(2), Read(0)],
        },
        Case {
            name: "two eras in a row, a follower misses the first",
            steps: &[CutOff(3), Restore, Read(0), Restore, Follow(3, 1), Read(0)],
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(4);
        fleet.store.put("config", config(1));
        fleet.store.put("t1", entry("t1", TargetState::Ready, 1, 1));
        fleet.store.put("t2", entry("t2", TargetState::Ready, 1, 1));
        fleet.store.put("t3", entry("t3", TargetState::Ready, 1, 1));
        fleet.settle();
        let copy = fleet.store.copy();
        fleet.store.put("config", config(2));
        fleet.store.put("t1", entry("t1", TargetState::Draining, 1, 2));
        fleet.store.remove("t2", Change::TargetGone(TargetName::new("t2")));
        fleet.settle();
        for step in case.steps {
            match *step {
                Restore => fleet.store.restore(&copy),
                Writes(count) => fleet.store.skip(count),
                Read(gateway) => fleet.read(gateway),
                BeginRead(gateway) => fleet.begin_read(gateway),
                EndRead(gateway) => fleet.end_read(gateway),
                CutOff(gateway) => fleet.cut_off(gateway),
                Follow(gateway, source) => fleet.follow(gateway, source),
            }
            fleet.deliver_all();
            for (index, gateway) in fleet.gateways.iter().enumerate() {
                let (name, view) = (case.name, &gateway.view);
                assert_eq!(usable(view), ["t3"], "{name}, {step:?}: gateway {index}");
                assert_eq!(
                    view.configuration_version(),
                    Generation(2),
                    "{name}, {step:?}: {index}"
                );
            }
        }
        fleet.store.put("config", config(3));
        fleet.store.put("t4", entry("t4", TargetState::Ready, 1, 1));
        fleet.settle();
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            let (name, view) = (case.name, &gateway.view);
            assert_eq!(view.position(), fleet.store.position(), "{name}: gateway {index}");
            assert_eq!(view.configuration_version(), Generation(3), "{name}: gateway {index}");
            assert_eq!(usable(view), ["t3", "t4"], "{name}: gateway {index}");
        }
    }
}

/// Random changes, returns of the store, reads, late responses and connections. The model checks
/// after each step that no gateway goes back; at the end all agree with the store.
#[test]
fn gateways_never_go_back_and_agree_at_the_end() {
    let names = ["t1", "t2", "t3", "t4"];
    for seed in 0..RUNS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(5);
        let (mut version, mut sequence) = (1, 1);
        let mut copies = vec![fleet.store.copy()];
        for _ in 0..STEPS {
            let (gateway, source) = (rng.random_range(0..5), rng.random_range(0..5));
            let name = *names.choose(&mut rng).unwrap();
            match rng.random_range(0..24) {
                0 => {
                    version += 1;
                    fleet.store.put("config", config(version));
                }
                1..=3 => {
                    sequence += 1;
                    let states = [TargetState::Ready, TargetState::Ready, TargetState::Draining];
                    let state = *states.choose(&mut rng).unwrap();
                    fleet.store.put(name, entry(name, state, 1, sequence));
                }
                4 => fleet.store.remove(name, Change::TargetGone(TargetName::new(name))),
                5 => fleet.store.put("zone", Change::ZoneOut(ZoneName::new("a"))),
                6 => fleet.store.remove("zone", Change::ZoneIn(ZoneName::new("a"))),
                7 => copies.push(fleet.store.copy()),
                8 => {
                    let copy = copies.choose(&mut rng).unwrap().clone();
                    fleet.store.restore(&copy);
                    fleet.store.skip(rng.random_range(0..40));
                }
                9..=11 => fleet.read(gateway),
                12 => fleet.begin_read(gateway),
                13 => fleet.end_read(gateway),
                14 => fleet.cut_off(gateway),
                15..=16 if gateway != source => fleet.follow(gateway, source),
                17 => fleet.wait(Duration::from_millis(rng.random_range(1..3_000))),
                18 => fleet.store.lose_history(),
                _ => fleet.deliver_one(gateway),
            }
            fleet.check_no_regress(seed);
        }
        version += 1;
        fleet.store.put("config", config(version));
        for name in names {
            sequence += 1;
            fleet.store.put(name, entry(name, TargetState::Ready, 1, sequence));
        }
        fleet.store.remove("zone", Change::ZoneIn(ZoneName::new("a")));
        fleet.settle();
        fleet.wait(Duration::from_secs(40));
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            let view = &gateway.view;
            assert_eq!(view.position(), fleet.store.position(), "seed {seed}: gateway {index}");
            assert_eq!(view.configuration_version(), Generation(version), "seed {seed}: {index}");
            assert_eq!(usable(view), names, "seed {seed}: gateway {index}");
        }
        assert!(fleet.gateways[READER].view.zones_out().next().is_none(), "seed {seed}");
    }
}
