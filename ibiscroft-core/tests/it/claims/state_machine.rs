//! State machine test of at-most-once execution with several gateways and a faulty store.

use ibiscroft_core::claims::ClaimVerdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::step::Step;
use super::world::{GATEWAYS, World, response_for};

/// Seed, unless `PROPTEST_RNG_SEED` is set.
const SEED: u64 = 4;
/// Number of cases, unless `PROPTEST_CASES` is set.
const CASES: u32 = 400;
/// Number of keys that callers use.
const KEYS: usize = 4;

/// Time after which the outcome of every unfinished claim counts as unknown.
const CLAIM_EXPIRY_MS: u64 = 60_000;

/// Reference without state: the invariants are checked on the world after each step.
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
        world.recover();
        check(&world);
        assert_eq!(world.open_claims(), 0, "open claims after recovery");
        world.step(&Step::Advance { millis: CLAIM_EXPIRY_MS });
        for key in 0..KEYS {
            check_resend(&mut world, key);
        }
    }
}

/// Checks the invariants: each key runs at most once, a request that was reported as not run is
/// never sent, and a replayed response is that of the same request.
fn check(world: &World) {
    for (key, executions) in &world.executions {
        assert!(*executions <= 1, "key {key} ran {executions} times");
    }
    for (index, request) in world.requests.iter().enumerate() {
        let ran_after_not_run = request.reported_not_run && request.is_sent;
        assert!(!ran_after_not_run, "request {index} was reported as not run, but ran");
        let Some(ClaimVerdict::Replay(response)) = &request.verdict else {
            continue;
        };
        assert_eq!(*response, response_for(request.key), "request {index} got a wrong response");
        assert_eq!(
            world.executions.get(&request.key),
            Some(&1),
            "request {index} got a response although its key did not run"
        );
        let executed_body = world.executed_body.get(&request.key);
        assert_eq!(
            executed_body,
            Some(&request.body),
            "request {index} got the response to another request"
        );
    }
}

/// Sends a request with `key` again after recovery, and checks that every gateway then gives the
/// same verdict.
fn check_resend(world: &mut World, key: usize) {
    let (body, first) = match world.submit_and_recover(0, key, 0) {
        ClaimVerdict::KeyReused => (1, world.submit_and_recover(0, key, 1)),
        verdict => (0, verdict),
    };
    check(world);
    let expected = match first {
        ClaimVerdict::Proceed => ClaimVerdict::Replay(response_for(key)),
        ClaimVerdict::Unknown if world.uncertain_keys.contains(&key) => ClaimVerdict::Unknown,
        ClaimVerdict::Replay(response) => ClaimVerdict::Replay(response),
        other => panic!("key {key}: {other:?} after recovery"),
    };
    for gateway in 1..GATEWAYS {
        assert_eq!(
            world.submit_and_recover(gateway, key, body),
            expected,
            "key {key} at gateway {gateway}"
        );
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
