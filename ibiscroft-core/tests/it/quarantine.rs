//! Tests of `quarantine`.

mod world;

use ibiscroft_core::quarantine::{Fingerprint, QuarantineStatus};
use proptest::prelude::*;

use crate::support::fuzz;
use crate::trace::{Replay, replay_all};
use world::{FIRST_CULPRIT, GATEWAYS, Step, TARGETS, World};

const CULPRIT: u64 = FIRST_CULPRIT;
/// Lets [`LOSS_PROPAGATION_TIME`](ibiscroft_core::quarantine::LOSS_PROPAGATION_TIME) pass.
const PROPAGATE: Step = Step::Advance { millis: 200 };
/// Number of different innocent requests.
const INNOCENTS: u64 = 10;

#[test]
fn traces_end_as_stated() {
    replay_all::<World>("quarantine");
}

#[test]
fn a_fingerprint_depends_on_each_part_and_their_order() {
    let base = Fingerprint::new(["register", "GET", "/a", ""]);
    assert_eq!(base, Fingerprint::new(["register", "GET", "/a", ""]));
    for other in [["hallmark", "GET", "/a", ""], ["register", "GET", "/b", ""]] {
        assert_ne!(base, Fingerprint::new(other));
    }
    assert_ne!(base, Fingerprint::new(["register", "GET", "", "/a"]));
}

/// Gateways compare fingerprints, so they must not depend on how a body arrived at one of them.
#[test]
fn a_fingerprint_does_not_depend_on_the_segments_of_the_body() {
    let whole = Fingerprint::new(["GET", "/a", "an order with a body"]);
    let segments = ["an order", "", " with ", "a body"];
    assert_eq!(whole, Fingerprint::new(["GET", "/a"]).with_segments(segments));
    let empty = Fingerprint::new(["GET", "/a", ""]);
    assert_eq!(empty, Fingerprint::new(["GET", "/a"]).with_segments([""; 0]));
}

fn run(steps: &[Step]) -> World {
    let mut world = World::default();
    steps.iter().for_each(|step| world.step(step));
    world
}

#[test]
fn request_is_no_suspect_if_only_its_connection_was_cut() {
    let send = Step::Send { gateway: 0, request: 1, target: 0 };
    let world = run(&[send, Step::Cut { target: 0 }]);
    assert_eq!(world.status(0, 1), QuarantineStatus::Clear);
}

#[test]
fn losses_at_one_target_do_not_refuse_the_request() {
    let send = |gateway| Step::Send { gateway, request: 1, target: 0 };
    let (kill, warm) = (Step::Kill { target: 0 }, Step::Warm { target: 0 });
    // The second gateway has not been notified of the first loss yet.
    let world = run(&[send(0), kill, warm, send(1), kill, PROPAGATE]);
    for gateway in 0..2 {
        assert!(
            matches!(world.status(gateway, 1), QuarantineStatus::Suspect(_)),
            "gateway {gateway}"
        );
    }
}

#[test]
fn innocent_requests_in_flight_with_two_culprits_are_not_refused() {
    let other = CULPRIT + 1;
    let mut world = World::default();
    let mut crash = |target, requests: &[u64]| {
        for (gateway, request) in requests.iter().enumerate() {
            world.step(&Step::Send { gateway, request: *request, target });
        }
        for target in 0..TARGETS {
            world.step(&Step::Work { target });
            world.step(&Step::Warm { target });
        }
        world.step(&PROPAGATE);
    };
    crash(0, &[CULPRIT, 1]);
    crash(1, &[CULPRIT]);
    crash(2, &[other, 2]);
    crash(3, &[other]);
    crash(4, &[CULPRIT, other, 1, 2]);
    assert_eq!(world.outcome().refused, [CULPRIT, other].into());
    assert_eq!(world.outcome().crashes, 4);
}

#[test]
fn loss_is_ignored_after_two_minutes() {
    let send = |target| Step::Send { gateway: 0, request: 1, target };
    let wait = Step::Advance { millis: 121_000 };
    let kill = |target| Step::Kill { target };
    assert_eq!(run(&[send(0), kill(0), wait]).status(0, 1), QuarantineStatus::Clear);
    let world = run(&[send(0), kill(0), wait, send(1), kill(1), PROPAGATE]);
    assert!(matches!(world.status(0, 1), QuarantineStatus::Suspect(_)));
}

#[test]
fn suspect_has_one_attempt_at_a_time() {
    let send = Step::Send { gateway: 0, request: 1, target: 0 };
    let mut world = run(&[send, Step::Kill { target: 0 }, PROPAGATE, send, send]);
    (0..TARGETS).for_each(|target| world.step(&Step::Work { target }));
    assert_eq!(world.outcome().answered, 1);
    world.step(&send);
    assert_eq!(world.status(0, 1), QuarantineStatus::Clear);
}

#[test]
fn rack_failure_refuses_no_request() {
    let mut steps = Vec::new();
    for target in 0..4 {
        for request in 0..3 {
            let request = 10 * target as u64 + request;
            steps.push(Step::Send { gateway: 0, request, target });
        }
        // This request is repeated at a second target of the failing rack.
        steps.push(Step::Send { gateway: 0, request: 77, target });
        if target >= 2 {
            steps.pop();
        }
    }
    steps.extend((0..4).map(|target| Step::Kill { target }));
    steps.push(PROPAGATE);
    let world = run(&steps);
    assert!(matches!(world.status(0, 77), QuarantineStatus::Suspect(_)));
}

fn request() -> impl Strategy<Value = u64> {
    prop_oneof![1 => Just(CULPRIT), 5 => 0..INNOCENTS]
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    let target = 0..TARGETS;
    prop_oneof![
        10 => (gateway, request(), target.clone())
            .prop_map(|(gateway, request, target)| Step::Send { gateway, request, target }),
        6 => target.clone().prop_map(|target| Step::Work { target }),
        1 => target.clone().prop_map(|target| Step::Cut { target }),
        2 => target.prop_map(|target| Step::Warm { target }),
        3 => (0_u64..250).prop_map(|millis| Step::Advance { millis }),
    ]
}

fn deliver() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..100).prop_map(|message| Step::Deliver { message }),
        1 => Just(Step::DeliverAll),
    ]
}

fn steps(step: impl Strategy<Value = Step>) -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(fuzz(500))]

    /// Holds for any order in which messages between gateways arrive.
    #[test]
    fn innocent_requests_are_not_refused(steps in steps(prop_oneof![2 => step(), 1 => deliver()])) {
        let outcome = run(&steps).outcome();
        prop_assert!(outcome.refused.iter().all(|request| *request >= CULPRIT), "{outcome:?}");
    }

    /// Only a request in flight at a target that the platform ended may be refused by mistake.
    #[test]
    fn innocent_request_is_refused_only_after_an_independent_loss(
        steps in steps(prop_oneof![
            40 => step(),
            1 => (0..TARGETS).prop_map(|target| Step::Kill { target }),
            20 => deliver(),
        ]),
    ) {
        let world = run(&steps);
        for request in &world.outcome().refused {
            let was_killed_by_platform = world.killed_with.contains(request);
            prop_assert!(*request >= CULPRIT || was_killed_by_platform, "request {request}");
        }
    }

    /// After the first crash, a culprit ends one more run, and a further one only for each crash
    /// after which an innocent request had been in flight at every crash so far.
    #[test]
    fn culprit_is_contained_if_gateways_exchange_losses(steps in steps(step())) {
        let mut world = World::default();
        for step in &steps {
            world.step(step);
            world.step(&Step::DeliverAll);
        }
        prop_assert!(world.late_runs.len() <= 1 + world.ambiguous_crashes, "{:?}", world.late_runs);
    }

    /// Each gateway contains a culprit on its own if it receives no messages from peers.
    #[test]
    fn culprit_is_contained_without_messages_from_peers(steps in steps(step())) {
        let mut world = World::default();
        world.is_delivery_prompt = false;
        steps.iter().for_each(|step| world.step(step));
        prop_assert!(world.late_runs.len() <= 3 * GATEWAYS, "{:?}", world.late_runs);
    }
}

/// The requests in flight with the culprit are sent to other targets than the culprit.
#[test]
fn culprit_ends_exactly_two_targets() {
    for others in 0..6 {
        let mut world = World::default();
        for _ in 0..4 {
            for request in (0..others).chain([CULPRIT]) {
                let gateway = request as usize % GATEWAYS;
                world.step(&Step::Send { gateway, request, target: 0 });
            }
            (0..TARGETS).for_each(|target| world.step(&Step::Work { target }));
            world.step(&PROPAGATE);
        }
        let outcome = world.outcome();
        assert_eq!(outcome.crashes, 2, "{others} others");
        assert_eq!(outcome.refused, [CULPRIT].into(), "{others} others");
    }
}
