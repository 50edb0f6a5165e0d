//! At-most-once execution against an oracle: what ran, and what callers were told.

use ibiscroft_core::claims::ClaimVerdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::step::Step;
use super::world::{GATEWAYS, World, answer_to};

/// Seed of the runs in CI.
const SEED: u64 = 4;
/// Cases of a run in CI.
const CASES: u32 = 400;
/// Keys that callers use.
const KEYS: usize = 4;

/// Time after which every claim without outcome counts as unknown.
const CLAIM_EXPIRY_MS: u64 = 60_000;

/// The oracle needs no state: its rules hold after each step.
#[derive(Clone, Debug)]
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let any = 0..8_usize;
        prop_oneof![
            6 => (0..GATEWAYS, 0..KEYS, 0..20_u64).prop_map(|(gateway, key, body)| {
                Step::Submit { gateway, key, body: u64::from(body == 0) }
            }),
            1 => any.clone().prop_map(|order| Step::Withdraw { order }),
            14 => any.clone().prop_map(|call| Step::Apply { call }),
            12 => any.clone().prop_map(|call| Step::Deliver { call }),
            3 => any.clone().prop_map(|call| Step::TimeOut { call }),
            1 => any.clone().prop_map(|call| Step::Drop { call }),
            5 => any.clone().prop_map(|order| Step::Send { order }),
            2 => any.clone().prop_map(|order| Step::ConnectFail { order }),
            3 => any.clone().prop_map(|order| Step::Answer { order }),
            1 => any.prop_map(|order| Step::Lose { order }),
            2 => (0..GATEWAYS).prop_map(|gateway| Step::Pause { gateway }),
            3 => (0..GATEWAYS).prop_map(|gateway| Step::Resume { gateway }),
            1 => (0..GATEWAYS).prop_map(|gateway| Step::Kill { gateway }),
            6 => prop_oneof![Just(1_u64), Just(20), Just(250), Just(900), Just(6_000), Just(20_000)]
                .prop_map(|millis| Step::Advance { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Claims;

impl StateMachineTest for Claims {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(&step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        check(world);
    }

    fn teardown(mut world: World, (): ()) {
        world.heal();
        check(&world);
        assert_eq!(world.left_over(), 0, "operations stayed behind");
        world.step(&Step::Advance { millis: CLAIM_EXPIRY_MS });
        for key in 0..KEYS {
            probe(&mut world, key);
        }
    }
}

/// Checks every rule that must hold at any time.
fn check(world: &World) {
    for (key, runs) in &world.runs {
        assert!(*runs <= 1, "key {key} ran {runs} times");
    }
    for (index, order) in world.orders.iter().enumerate() {
        let ran_after_not_run = order.told_not_run && order.is_sent;
        assert!(!ran_after_not_run, "order {index} was told not_run and ran");
        let Some(ClaimVerdict::Replay(answer)) = &order.verdict else {
            continue;
        };
        assert_eq!(*answer, answer_to(order.key), "order {index} got another answer");
        assert_eq!(world.runs.get(&order.key), Some(&1), "order {index} got an invented answer");
        let ran_body = world.ran_body.get(&order.key);
        assert_eq!(ran_body, Some(&order.body), "order {index} got the answer to another request");
    }
}

/// Sends each key again once everything works: there is an outcome, the same at each gateway.
fn probe(world: &mut World, key: usize) {
    let (body, first) = match world.probe(0, key, 0) {
        ClaimVerdict::KeyReused => (1, world.probe(0, key, 1)),
        verdict => (0, verdict),
    };
    check(world);
    let expected = match first {
        ClaimVerdict::Proceed => ClaimVerdict::Replay(answer_to(key)),
        ClaimVerdict::Unknown if world.doubtful.contains(&key) => ClaimVerdict::Unknown,
        ClaimVerdict::Replay(answer) => ClaimVerdict::Replay(answer),
        other => panic!("key {key}: {other:?} although everything works"),
    };
    for gateway in 1..GATEWAYS {
        assert_eq!(world.probe(gateway, key, body), expected, "key {key} at gateway {gateway}");
    }
    check(world);
}

fn config() -> Config {
    let mut config = Config { failure_persistence: None, ..Config::default() };
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn each_key_runs_at_most_once(sequential 1..120 => Claims);
}
