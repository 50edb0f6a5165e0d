//! Tests of `selection`.

use ibiscroft_core::Tick;
use ibiscroft_core::budget::{AttemptFailure, ServiceRetryBudget};
use ibiscroft_core::ids::{InstanceName, Permille};
use ibiscroft_core::selection::{
    AttemptedTargets, Candidate, Eligibility, LoadReport, LoadTable, MetricWeighted, Pool, Random,
    ReportedTwoChoices, RoundRobin, Selection, Selector, TrialPlacement, TwoChoices, subset,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::{at, fuzz, target, zone};

fn pool(states: &[Eligibility]) -> Pool {
    let mut loads = LoadTable::default();
    let mut candidates = Vec::new();
    for (index, eligibility) in states.iter().enumerate() {
        let target = target(index);
        let load = loads.entry(&target.name);
        candidates.push(Candidate { target, eligibility: *eligibility, load });
    }
    Pool::new(&zone(0), candidates)
}

fn warm_pool(count: usize) -> Pool {
    pool(&vec![Eligibility::Warm; count])
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(4)
}

/// Selects once with each selector.
fn select_with_all(pool: &Pool, tried: &AttemptedTargets, now: Tick, seed: u64) -> Vec<Selection> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let metrics: Vec<f64> = pool.candidates().iter().map(|_| 50.0).collect();
    vec![
        TwoChoices::default().select(pool, tried, now, &mut rng),
        Random.select(pool, tried, now, &mut rng),
        RoundRobin::default().select(pool, tried, now, &mut rng),
        MetricWeighted::new(&metrics).select(pool, tried, now, &mut rng),
        ReportedTwoChoices.select(pool, tried, now, &mut rng),
    ]
}

#[test]
fn what_is_left_decides_the_outcome() {
    use Eligibility::{Cold, Leaving, Warm, ZoneOut};
    struct Case {
        name: &'static str,
        states: &'static [Eligibility],
        tried: &'static [usize],
        expected: Selection,
    }
    let cases = [
        Case { name: "no target", states: &[], tried: &[], expected: Selection::Empty },
        Case {
            name: "none eligible",
            states: &[ZoneOut, Leaving],
            tried: &[],
            expected: Selection::Empty,
        },
        Case {
            name: "warm before cold",
            states: &[Cold, Warm, ZoneOut],
            tried: &[],
            expected: Selection::Warm(1),
        },
        Case {
            name: "cold when the warm one was tried",
            states: &[Cold, Warm],
            tried: &[1],
            expected: Selection::Cold(0),
        },
        Case {
            name: "all tried",
            states: &[Warm, Cold],
            tried: &[0, 1],
            expected: Selection::Exhausted,
        },
        Case {
            name: "no moves left",
            states: &[Warm; 6],
            tried: &[0, 1, 2, 3],
            expected: Selection::Exhausted,
        },
    ];
    for case in cases {
        let mut tried = AttemptedTargets::default();
        for index in case.tried {
            tried.insert(*index);
        }
        for found in select_with_all(&pool(case.states), &tried, at(0), 1) {
            assert_eq!(found, case.expected, "{}", case.name);
        }
    }
}

#[test]
fn one_request_at_a_time_tries_an_unreachable_target() {
    let pool = warm_pool(1);
    let load = &pool.candidate(0).load;
    load.begin().end_unreachable(at(0), 0);
    let select =
        |now| TwoChoices::default().select(&pool, &AttemptedTargets::default(), now, &mut rng());
    assert_eq!(select(at(1)), Selection::Unreachable);
    assert_eq!(select(at(50)), Selection::Warm(0));
    assert_eq!(select(at(50)), Selection::Unreachable);
    load.begin().end_answered(at(51));
    assert_eq!(select(at(51)), Selection::Warm(0));
    assert_eq!(select(at(51)), Selection::Warm(0));
}

#[test]
fn the_backoff_grows_and_stays_bounded() {
    let pool = warm_pool(1);
    let load = &pool.candidate(0).load;
    let mut waits = Vec::new();
    let mut now = at(0);
    for _ in 0..8 {
        load.record_unreachable(now, 0);
        let wait = (0..2_000).find(|ms| load.is_reachable(now + crate::support::ms(*ms))).unwrap();
        waits.push(wait);
        now = now + crate::support::ms(wait);
    }
    assert_eq!(waits, [25, 50, 100, 200, 400, 500, 500, 500]);
}

#[test]
fn requests_leave_the_zone_by_measured_excess() {
    let pool = warm_pool(9);
    let mut rng = rng();
    let mut select = |now| match TwoChoices::default().select(
        &pool,
        &AttemptedTargets::default(),
        now,
        &mut rng,
    ) {
        Selection::Warm(index) => index,
        other => panic!("{other:?}"),
    };
    for _ in 0..100 {
        assert_eq!(select(at(0)) % 3, 0, "an idle zone keeps its requests");
    }
    let busy: Vec<_> = (0..3).flat_map(|near| [near * 3; 4]).collect();
    let guards: Vec<_> = busy.iter().map(|index| pool.candidate(*index).load.begin()).collect();
    for _ in 0..100 {
        assert_ne!(select(at(0)) % 3, 0, "a busy zone passes requests on");
    }
    drop(guards);
    for near in [0, 3, 6] {
        for _ in 0..3 {
            pool.candidate(near).load.record_shed(at(10));
        }
    }
    for _ in 0..100 {
        assert_ne!(select(at(11)) % 3, 0, "a zone that refuses passes requests on");
    }
    for _ in 0..100 {
        assert_eq!(select(at(500)) % 3, 0, "refusals are forgotten");
    }
}

#[test]
fn the_less_loaded_of_two_wins() {
    let pool = pool(&[Eligibility::Warm; 2]);
    let _busy = [pool.candidate(0).load.begin(), pool.candidate(0).load.begin()];
    pool.candidate(0).load.record_report(LoadReport { running: 6, waiting: 3 });
    let mut rng = rng();
    let selected = |found| matches!(found, Selection::Warm(1));
    let tried = AttemptedTargets::default();
    let count = (0..200)
        .filter(|_| selected(ReportedTwoChoices.select(&pool, &tried, at(0), &mut rng)))
        .count();
    assert!(count > 120, "{count} of 200");
}

fn roster(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| InstanceName::new(format!("gw-{index}"))).collect()
}

#[test]
fn a_subset_moves_little() {
    let targets: Vec<_> = (0..300).map(target).collect();
    let mut roster = roster(60);
    let before = subset(&roster[7], &roster, &targets, 8);
    roster.remove(3);
    let after = subset(&roster[6], &roster, &targets, 8);
    let lost = before.iter().filter(|index| !after.contains(index)).count();
    assert_eq!(lost, 0, "another gateway's end takes nothing away");
    assert!(after.len() - before.len() <= 10, "{} came", after.len() - before.len());
}

#[test]
fn subsets_keep_connections_within_the_limit() {
    struct Case {
        targets: usize,
        gateways: usize,
    }
    let cases = [
        Case { targets: 25, gateways: 18 },
        Case { targets: 25, gateways: 36 },
        Case { targets: 60, gateways: 60 },
        Case { targets: 890, gateways: 100 },
    ];
    for Case { targets, gateways } in cases {
        let all: Vec<_> = (0..targets).map(target).collect();
        let roster = roster(gateways);
        let mut connections = vec![0_u32; targets];
        for gateway in &roster {
            for index in subset(gateway, &roster, &all, 8) {
                connections[index] += 8;
            }
        }
        let most = connections.iter().max().unwrap();
        assert!(*most <= 200, "{most} at one of {targets} targets with {gateways} gateways");
        assert!(connections.iter().all(|count| *count > 0), "a target without gateways");
    }
}

#[test]
fn a_gateway_that_no_target_ranks_high_has_targets_all_the_same() {
    let targets: Vec<_> = (0..6).map(target).collect();
    let roster = roster(400);
    for gateway in &roster {
        let count = subset(gateway, &roster, &targets, 8).len();
        assert!(count >= 4, "{gateway} uses {count}");
    }
}

#[test]
fn places_differ_while_there_are_enough_targets() {
    let place = |position| TrialPlacement {
        seed: 77,
        excluded_target: TrialPlacement::target_key(&target(4).name),
        position,
    };
    let all = warm_pool(10);
    let placed: Vec<_> = (0..9).filter_map(|position| all.trial_target(place(position))).collect();
    let mut sorted = placed.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1, 2, 3, 5, 6, 7, 8, 9], "each has its own, the lost one has none");
    assert_eq!(all.trial_target(place(11)), Some(placed[2]));

    let mut states = [Eligibility::Warm; 10];
    states[placed[3]] = Eligibility::Cold;
    let fewer = pool(&states);
    for position in (0..9).filter(|position| *position != 3) {
        assert_eq!(fewer.trial_target(place(position)), Some(placed[position]), "others stay");
    }
    assert_eq!(fewer.trial_target(place(3)), Some(placed[4]));
    assert_eq!(warm_pool(0).trial_target(place(1)), None);
}

#[test]
fn a_decision_allocates_nothing() {
    let pool = warm_pool(890);
    let budget = ServiceRetryBudget::new(Permille(100));
    let mut rng = rng();
    let decide = || {
        let mut tried = AttemptedTargets::default();
        for millis in 0..100 {
            budget.record_call();
            let selected = TwoChoices::default().select(&pool, &tried, at(millis), &mut rng);
            let Selection::Warm(index) = selected else {
                continue;
            };
            tried.insert(index);
            let in_flight = pool.candidate(index).load.begin();
            if budget.try_retry(AttemptFailure::Shed, true, at(millis)) {
                in_flight.end_shed(at(millis));
            } else {
                in_flight.end_unreachable(at(millis), 7);
            }
        }
    };
    assert_eq!(allocation_counter::measure(decide).count_total, 0);
}

fn states() -> impl Strategy<Value = Vec<Eligibility>> {
    use Eligibility::{Cold, Leaving, Warm, ZoneOut};
    prop::collection::vec(prop::sample::select(vec![Warm, Warm, Cold, Leaving, ZoneOut]), 0..24)
}

proptest! {
    #![proptest_config(fuzz(400))]

    #[test]
    fn only_targets_that_may_receive_work_are_selected(
        states in states(),
        tried_indexes in prop::collection::vec(0_usize..24, 0..4),
        unreachable in prop::collection::vec(0_usize..24, 0..12),
        seed in any::<u64>(),
    ) {
        let pool = pool(&states);
        let mut tried = AttemptedTargets::default();
        tried_indexes.iter().for_each(|index| tried.insert(*index));
        for index in unreachable.iter().filter(|index| **index < states.len()) {
            pool.candidate(*index).load.record_unreachable(at(0), seed);
        }
        let is_open = |index: usize, state| {
            states[index] == state && !tried.contains(index) && !unreachable.contains(&index)
        };
        let has = |state| !tried.is_full() && (0..states.len()).any(|index| is_open(index, state));
        for found in select_with_all(&pool, &tried, at(1), seed) {
            match found {
                Selection::Warm(index) => prop_assert!(is_open(index, Eligibility::Warm)),
                Selection::Cold(index) => {
                    prop_assert!(is_open(index, Eligibility::Cold));
                    prop_assert!(!has(Eligibility::Warm), "a warm one is left");
                }
                _ => prop_assert!(!has(Eligibility::Warm) && !has(Eligibility::Cold), "{found:?}"),
            }
        }
    }
}
