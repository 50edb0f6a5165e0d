//! Tests of `polling`.

mod world;

use ibiscroft_core::ids::{InstanceName, PerSecond, TargetName};
use ibiscroft_core::polling::{
    HANDOVER_DELAY, POLL_TIMEOUT, PollCounters, PollOwnership, PollScheduler, VIEW_VALIDITY,
};
use proptest::prelude::*;

use crate::support::{at, fuzz, ms};
use crate::trace::{Replay, replay_all};
use world::{GATEWAYS, Step, TARGETS, World, advance_ms, window_budget};

#[test]
fn replayed_traces_have_their_recorded_outcome() {
    replay_all::<World>("measuring");
}

/// Returns the ownership of the only gateway, confirmed each second until `until_ms`.
fn sole_owner(until_ms: u64) -> PollOwnership {
    let own = InstanceName::new("gw");
    let mut ownership = PollOwnership::new(own.clone());
    for second in 0..=until_ms / 1_000 {
        ownership.confirm(at(second * 1_000), vec![own.clone()]);
        let _ = ownership.may_poll(at(second * 1_000), &TargetName::new("t"));
    }
    ownership
}

#[test]
fn expired_view_allows_no_poll() {
    let mut ownership = sole_owner(10_000);
    let target = TargetName::new("t");
    let end = at(10_000) + VIEW_VALIDITY;
    assert!(ownership.may_poll(at(end.as_micros() / 1_000 - 1), &target));
    assert!(!ownership.may_poll(end, &target));
}

#[test]
fn new_owner_polls_only_after_the_handover_delay() {
    let (own, other) = (InstanceName::new("gw"), InstanceName::new("other"));
    let target = (0..)
        .map(|number| TargetName::new(format!("t-{number}")))
        .find(|name| {
            let names = [own.as_str(), other.as_str()];
            ibiscroft_core::rendezvous::owner(name.as_str(), names) == Some(other.as_str())
        })
        .unwrap();
    let mut ownership = PollOwnership::new(own.clone());
    let mut first_poll_at = None;
    for tick in 0..200 {
        let now = at(tick * 100);
        let is_alone = tick >= 50;
        let roster = if is_alone { vec![own.clone()] } else { vec![own.clone(), other.clone()] };
        ownership.confirm(now, roster);
        if ownership.may_poll(now, &target) {
            first_poll_at.get_or_insert(now);
        }
    }
    assert_eq!(
        first_poll_at,
        Some(at(5_000) + ms(100) * HANDOVER_DELAY.as_millis().div_ceil(100) as u32)
    );
}

#[test]
fn store_response_to_an_earlier_request_is_ignored() {
    let mut ownership = sole_owner(10_000);
    ownership.confirm(at(9_000), vec![InstanceName::new("other")]);
    assert!(ownership.may_poll(at(10_100), &TargetName::new("t")));
}

#[test]
fn target_reached_by_a_recent_call_is_not_polled() {
    let mut ownership = sole_owner(10_000);
    let target = TargetName::new("t");
    let mut scheduler = PollScheduler::new(PerSecond(10));
    scheduler.set_targets(at(0), [(target.clone(), PerSecond(1))]);
    scheduler.on_call(at(8_500), &target);
    assert_eq!(scheduler.next_poll(at(10_000), &mut ownership), None);
    assert_eq!(scheduler.next_poll(at(10_500), &mut ownership), Some(target));
}

#[test]
fn gateway_budget_limits_polls_of_all_targets_and_polls_are_counted() {
    let mut ownership = sole_owner(10_000);
    let names: Vec<TargetName> = (0..20).map(|n| TargetName::new(format!("t-{n}"))).collect();
    for name in &names {
        assert!(!ownership.may_poll(at(10_000), name));
    }
    for second in 11..=18 {
        ownership.confirm(at(second * 1_000), vec![InstanceName::new("gw")]);
    }
    let mut scheduler = PollScheduler::new(PerSecond(2));
    scheduler.set_targets(at(0), names.iter().map(|name| (name.clone(), PerSecond(1))));
    let count_polls = |scheduler: &mut PollScheduler, ownership: &mut PollOwnership, now| {
        std::iter::from_fn(|| scheduler.next_poll(now, ownership)).count()
    };
    assert_eq!(count_polls(&mut scheduler, &mut ownership, at(18_000)), 4, "limited by the burst");
    assert_eq!(count_polls(&mut scheduler, &mut ownership, at(19_000)), 2, "limited by the rate");
    let expected = PollCounters { sent: 6, timed_out: 4, deferred: 2 };
    assert_eq!(scheduler.counters(), expected);
    assert_eq!(POLL_TIMEOUT, ms(1_000));
}

#[test]
fn without_faults_every_target_is_polled_at_half_the_budget() {
    let mut world = World::default();
    world.step(&advance_ms(60_000));
    let outcome = world.outcome();
    assert!(outcome.most_in_window <= window_budget(), "{outcome:?}");
    assert!(outcome.polls.iter().all(|polls| *polls >= 20), "{outcome:?}");
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    prop_oneof![
        8 => (1_u64..60).prop_map(|ticks| Step::Advance { ticks }),
        2 => gateway.clone().prop_map(|gateway| Step::Pause { gateway }),
        3 => gateway.clone().prop_map(|gateway| Step::Resume { gateway }),
        1 => gateway.clone().prop_map(|gateway| Step::Kill { gateway }),
        2 => gateway.clone().prop_map(|gateway| Step::Start { gateway }),
        1 => any::<bool>().prop_map(|is_down| Step::Store { is_down }),
        1 => Just(Step::Store { is_down: false }),
        1 => (0_u64..24).prop_map(|ticks| Step::Slow { ticks }),
        1 => Just(Step::Slow { ticks: 0 }),
        2 => (gateway.clone(), any::<bool>())
            .prop_map(|(gateway, is_cut)| Step::Cut { gateway, is_cut }),
        1 => (gateway, 0..TARGETS)
            .prop_map(|(gateway, target)| Step::Traffic { gateway, target }),
    ]
}

proptest! {
    #![proptest_config(fuzz(400))]

    #[test]
    fn polls_of_all_gateways_stay_within_budget(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::default();
        for step in &steps {
            world.step(step);
        }
        prop_assert!(world.most_in_window() <= window_budget(), "{:?}", world.outcome());
    }

    /// Only the owner polls, and it uses half of the budget.
    #[test]
    fn no_two_gateways_poll_one_target_at_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::default();
        for step in &steps {
            world.step(step);
        }
        prop_assert!(world.most_in_window() <= window_budget() / 2 + 1, "{:?}", world.outcome());
    }
}
