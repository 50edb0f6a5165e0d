//! Tests of target selection.

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

/// Returns the selection of each selector.
fn select_with_all(
    pool: &Pool,
    attempted: &AttemptedTargets,
    now: Tick,
    seed: u64,
) -> Vec<Selection> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let metrics: Vec<f64> = pool.candidates().iter().map(|_| 50.0).collect();
    vec![
        TwoChoices::default().select(pool, attempted, now, &mut rng),
        Random.select(pool, attempted, now, &mut rng),
        RoundRobin::default().select(pool, attempted, now, &mut rng),
        MetricWeighted::new(&metrics).select(pool, attempted, now, &mut rng),
        ReportedTwoChoices.select(pool, attempted, now, &mut rng),
    ]
}

#[test]
fn selection_depends_on_eligible_targets_without_attempt() {
    use Eligibility::{Cold, Leaving, Warm, ZoneOut};
    struct Case {
        name: &'static str,
        states: &'static [Eligibility],
        attempted: &'static [usize],
        expected: Selection,
    }
    let cases = [
        Case { name: "no targets", states: &[], attempted: &[], expected: Selection::Empty },
        Case {
            name: "no target eligible",
            states: &[ZoneOut, Leaving],
            attempted: &[],
            expected: Selection::Empty,
        },
        Case {
            name: "warm preferred over cold",
            states: &[Cold, Warm, ZoneOut],
            attempted: &[],
            expected: Selection::Warm(1),
        },
        Case {
            name: "cold when the warm one was attempted",
            states: &[Cold, Warm],
            attempted: &[1],
            expected: Selection::Cold(0),
        },
        Case {
            name: "all attempted",
            states: &[Warm, Cold],
            attempted: &[0, 1],
            expected: Selection::Exhausted,
        },
        Case {
            name: "no retries left",
            states: &[Warm; 6],
            attempted: &[0, 1, 2, 3],
            expected: Selection::Exhausted,
        },
    ];
    for case in cases {
        let mut attempted = AttemptedTargets::default();
        for index in case.attempted {
            attempted.insert(*index);
        }
        for selection in select_with_all(&pool(case.states), &attempted, at(0), 1) {
            assert_eq!(selection, case.expected, "{}", case.name);
        }
    }
}

#[test]
fn one_trial_request_is_selected_after_a_backoff() {
    let pool = warm_pool(1);
    let load = &pool.candidate(0).load;
    load.begin_request().end_unreachable(at(0), 0);
    let select =
        |now| TwoChoices::default().select(&pool, &AttemptedTargets::default(), now, &mut rng());
    assert_eq!(select(at(1)), Selection::Unreachable);
    assert_eq!(select(at(50)), Selection::Warm(0));
    assert_eq!(select(at(50)), Selection::Unreachable);
    load.begin_request().end_answered(at(51));
    assert_eq!(select(at(51)), Selection::Warm(0));
    assert_eq!(select(at(51)), Selection::Warm(0));
}

#[test]
fn backoff_doubles_up_to_its_limit() {
    let pool = warm_pool(1);
    let load = &pool.candidate(0).load;
    let mut backoffs = Vec::new();
    let mut now = at(0);
    for _ in 0..8 {
        load.record_unreachable(now, 0);
        let backoff =
            (0..2_000).find(|ms| load.is_reachable(now + crate::support::ms(*ms))).unwrap();
        backoffs.push(backoff);
        now = now + crate::support::ms(backoff);
    }
    assert_eq!(backoffs, [25, 50, 100, 200, 400, 500, 500, 500]);
}

#[test]
fn requests_leave_the_zone_when_its_load_exceeds_the_threshold() {
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
        assert_eq!(select(at(0)) % 3, 0, "a request left its idle zone");
    }
    let busy: Vec<_> = (0..3).flat_map(|position| [position * 3; 4]).collect();
    let guards: Vec<_> =
        busy.iter().map(|index| pool.candidate(*index).load.begin_request()).collect();
    for _ in 0..100 {
        assert_ne!(select(at(0)) % 3, 0, "a request stayed in its busy zone");
    }
    drop(guards);
    for same_zone in [0, 3, 6] {
        for _ in 0..3 {
            pool.candidate(same_zone).load.record_shed(at(10));
        }
    }
    for _ in 0..100 {
        assert_ne!(select(at(11)) % 3, 0, "a request stayed in a zone that sheds");
    }
    for _ in 0..100 {
        assert_eq!(select(at(500)) % 3, 0, "the weight of shed requests did not decay");
    }
}

#[test]
fn reported_two_choices_prefers_the_target_with_less_reported_load() {
    let pool = pool(&[Eligibility::Warm; 2]);
    let _busy = [pool.candidate(0).load.begin_request(), pool.candidate(0).load.begin_request()];
    pool.candidate(0).load.record_report(LoadReport { running: 6, waiting: 3 });
    let mut rng = rng();
    let is_less_loaded = |selection| matches!(selection, Selection::Warm(1));
    let attempted = AttemptedTargets::default();
    let count = (0..200)
        .filter(|_| is_less_loaded(ReportedTwoChoices.select(&pool, &attempted, at(0), &mut rng)))
        .count();
    assert!(count > 120, "{count} of 200");
}

fn roster(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| InstanceName::new(format!("gw-{index}"))).collect()
}

#[test]
fn subset_changes_little_when_a_gateway_leaves() {
    let targets: Vec<_> = (0..300).map(target).collect();
    let mut roster = roster(60);
    let before = subset(&roster[7], &roster, &targets, 8);
    roster.remove(3);
    let after = subset(&roster[6], &roster, &targets, 8);
    let lost = before.iter().filter(|index| !after.contains(index)).count();
    assert_eq!(lost, 0, "a target was taken away when another gateway left");
    assert!(after.len() - before.len() <= 10, "{} targets added", after.len() - before.len());
}

#[test]
fn subsets_keep_connections_of_each_target_within_its_limit() {
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
        assert!(*most <= 200, "{most} connections: {targets} targets, {gateways} gateways");
        assert!(connections.iter().all(|count| *count > 0), "no gateway uses some target");
    }
}

#[test]
fn every_gateway_gets_a_minimum_of_targets() {
    let targets: Vec<_> = (0..6).map(target).collect();
    let roster = roster(400);
    for gateway in &roster {
        let count = subset(gateway, &roster, &targets, 8).len();
        assert!(count >= 4, "{gateway} uses {count} targets");
    }
}

#[test]
fn suspects_of_one_ended_run_get_different_trial_targets() {
    let placement = |position| TrialPlacement {
        seed: 77,
        excluded_target: TrialPlacement::target_key(&target(4).name),
        position,
    };
    let full = warm_pool(10);
    let trial_targets: Vec<_> =
        (0..9).filter_map(|position| full.trial_target(placement(position))).collect();
    let mut sorted = trial_targets.clone();
    sorted.sort_unstable();
    assert_eq!(
        sorted,
        [0, 1, 2, 3, 5, 6, 7, 8, 9],
        "every target but the excluded one is used once"
    );
    assert_eq!(full.trial_target(placement(11)), Some(trial_targets[2]));

    let mut states = [Eligibility::Warm; 10];
    states[trial_targets[3]] = Eligibility::Cold;
    let fewer = pool(&states);
    for position in (0..9).filter(|position| *position != 3) {
        assert_eq!(
            fewer.trial_target(placement(position)),
            Some(trial_targets[position]),
            "target of position {position} changed"
        );
    }
    assert_eq!(fewer.trial_target(placement(3)), Some(trial_targets[4]));
    assert_eq!(warm_pool(0).trial_target(placement(1)), None);
}

#[test]
fn selection_and_retry_decisions_allocate_nothing() {
    let pool = warm_pool(890);
    let budget = ServiceRetryBudget::new(Permille(100));
    let mut rng = rng();
    let decide = || {
        let mut attempted = AttemptedTargets::default();
        for millis in 0..100 {
            budget.record_call();
            let selected = TwoChoices::default().select(&pool, &attempted, at(millis), &mut rng);
            let Selection::Warm(index) = selected else {
                continue;
            };
            attempted.insert(index);
            let in_flight = pool.candidate(index).load.begin_request();
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
    fn only_eligible_and_reachable_targets_are_selected(
        states in states(),
        attempted_indexes in prop::collection::vec(0_usize..24, 0..4),
        unreachable in prop::collection::vec(0_usize..24, 0..12),
        seed in any::<u64>(),
    ) {
        let pool = pool(&states);
        let mut attempted = AttemptedTargets::default();
        attempted_indexes.iter().for_each(|index| attempted.insert(*index));
        for index in unreachable.iter().filter(|index| **index < states.len()) {
            pool.candidate(*index).load.record_unreachable(at(0), seed);
        }
        let is_usable = |index: usize, state| {
            states[index] == state && !attempted.contains(index) && !unreachable.contains(&index)
        };
        let has_usable =
            |state| !attempted.is_full() && (0..states.len()).any(|index| is_usable(index, state));
        for selection in select_with_all(&pool, &attempted, at(1), seed) {
            match selection {
                Selection::Warm(index) => prop_assert!(is_usable(index, Eligibility::Warm)),
                Selection::Cold(index) => {
                    prop_assert!(is_usable(index, Eligibility::Cold));
                    prop_assert!(
                        !has_usable(Eligibility::Warm),
                        "cold target {index} selected while a warm one is left"
                    );
                }
                _ => prop_assert!(
                    !has_usable(Eligibility::Warm) && !has_usable(Eligibility::Cold),
                    "{selection:?} although a target is usable"
                ),
            }
        }
    }
}
