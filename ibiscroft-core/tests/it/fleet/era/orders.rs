//! Gateways see a new era in different orders.

use std::time::Duration;

use ibiscroft_core::fleet::{Change, TargetState};
use ibiscroft_core::ids::{Generation, TargetName, ZoneName};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::fleet_model::{Fleet, READER};
use super::{config, entry, usable};

/// Number of random runs.
const RUNS: u64 = 300;
/// Number of steps in a random run.
const STEPS: usize = 120;

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
