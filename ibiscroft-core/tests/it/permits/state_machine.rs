//! State machine test: no sequence of faults makes the gateways exceed the concurrency limit of a
//! cold target.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::rules::{BrokenRule, GATEWAYS, TARGETS};
use super::step::{PausePoint, Step};
use super::world::World;

/// Seed of the simulation's randomness; the invariants are checked by the simulation itself.
#[derive(Clone, Debug)]
struct Reference {
    seed: u64,
}

fn pause_point() -> impl Strategy<Value = PausePoint> {
    prop_oneof![Just(PausePoint::Now), Just(PausePoint::Event), Just(PausePoint::Send)]
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    let target = 0..TARGETS;
    prop_oneof![
        12 => (1_u64..120).prop_map(|ms| Step::Advance { ms: ms * 10 }),
        1 => (4_u64..50).prop_map(|s| Step::Advance { ms: s * 100 }),
        2 => (0_u32..500).prop_map(|permille| Step::Load { permille }),
        2 => (gateway.clone(), pause_point())
            .prop_map(|(gateway, at)| Step::Pause { gateway, at }),
        3 => gateway.clone().prop_map(|gateway| Step::Resume { gateway }),
        1 => gateway.clone().prop_map(|gateway| Step::Kill { gateway }),
        2 => gateway.clone().prop_map(|gateway| Step::Start { gateway }),
        1 => (any::<bool>(), 0_u64..900, 0_u32..4).prop_map(|(down, delay_ms, lose_answers)| {
            Step::Store { down, delay_ms, lose_answers }
        }),
        1 => Just(Step::Store { down: false, delay_ms: 0, lose_answers: 0 }),
        2 => (gateway, any::<bool>()).prop_map(|(gateway, cut)| Step::Cut { gateway, cut }),
        2 => target.clone().prop_map(|target| Step::Restart { target }),
        1 => target.prop_map(|target| Step::FallCold { target }),
        1 => (0_u32..400, 0_u64..400)
            .prop_map(|(lose_permille, delay_ms)| Step::Peers { lose_permille, delay_ms }),
        1 => Just(Step::Peers { lose_permille: 0, delay_ms: 0 }),
    ]
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        any::<u64>().prop_map(|seed| Self { seed }).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        step().boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

/// Time after the end of all faults within which every gateway must have a certificate for every
/// target.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

struct ColdStart;

impl StateMachineTest for ColdStart {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(state: &Reference) -> World {
        let mut world = World::new(state.seed, BrokenRule::None);
        world.apply(&Step::Load { permille: 200 });
        world.apply(&Step::Advance { ms: 3_500 });
        world
    }

    fn apply(mut world: World, _: &Reference, step: Step) -> World {
        world.apply(&step);
        world
    }

    fn check_invariants(world: &World, _: &Reference) {
        assert_eq!(world.violation, None, "at {}", world.now);
    }

    fn teardown(mut world: World, _: Reference) {
        world.recover(RECOVERY_TIME);
        assert_eq!(world.violation, None, "at {}", world.now);
        assert!(
            world.all_warm(),
            "targets without certificates after recovery: {:?}",
            world.counters()
        );
    }
}

fn config() -> Config {
    let mut config = Config { failure_persistence: None, ..Config::default() };
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(0x1b15);
    }
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 96;
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn cold_targets_never_exceed_their_concurrency_limit(sequential 10..80 => ColdStart);
}

/// Runs random walks until one violates an invariant; returns its number.
fn first_violating_walk(broken: BrokenRule, max_walks: u64) -> Option<u64> {
    let mut runner = proptest::test_runner::TestRunner::new(config());
    for walk in 0..max_walks {
        let mut rng = SmallRng::seed_from_u64(walk);
        let mut world = World::new(walk, broken);
        world.apply(&Step::Load { permille: 200 });
        world.apply(&Step::Advance { ms: 3_500 });
        for _ in 0..rng.random_range(20..80) {
            let tree = step().new_tree(&mut runner).expect("a generated step");
            world.apply(&proptest::strategy::ValueTree::current(&tree));
            if world.violation.is_some() {
                return Some(walk);
            }
        }
    }
    None
}

#[test]
fn random_walks_find_each_broken_rule() {
    let rules = [
        BrokenRule::PermitValidity,
        BrokenRule::TakeoverDelay,
        BrokenRule::PermitLifetime,
        BrokenRule::LivenessConnection,
        BrokenRule::KeepViewAlone,
    ];
    for broken in rules {
        let walk = first_violating_walk(broken, 300);
        println!("{broken:?}: violation in walk {walk:?}");
        assert!(walk.is_some(), "{broken:?}: no violation found");
    }
}

/// Lease holders that cannot reach the store must not go on granting permits, even if all members
/// of their last view agree: a gateway that starts meanwhile reaches the store, becomes lease
/// holder of some targets and grants permits for them too.
#[test]
fn keeping_a_stale_view_by_agreement_fails_when_a_gateway_starts() {
    let cases = [(BrokenRule::None, false), (BrokenRule::KeepViewTogether, true)];
    for (broken, is_violated) in cases {
        let mut world = World::new(3, broken);
        world.apply(&Step::Kill { gateway: 3 });
        world.apply(&Step::Load { permille: 400 });
        world.apply(&Step::Advance { ms: 6_000 });
        for gateway in 0..3 {
            world.apply(&Step::Cut { gateway, cut: true });
        }
        world.apply(&Step::Advance { ms: 2_000 });
        world.apply(&Step::Start { gateway: 3 });
        for _ in 0..10 {
            world.apply(&Step::Advance { ms: 1_000 });
            world.apply(&Step::Restart { target: 0 });
            world.apply(&Step::Restart { target: 2 });
        }
        assert_eq!(world.violation.is_some(), is_violated, "{broken:?}: {:?}", world.violation);
    }
}

#[test]
fn cold_targets_become_warm_without_faults() {
    for seed in 0..8 {
        let mut world = World::new(seed, BrokenRule::None);
        world.apply(&Step::Load { permille: 100 });
        world.apply(&Step::Advance { ms: 15_000 });
        assert_eq!(world.violation, None, "seed {seed}");
        assert!(world.all_warm(), "seed {seed}: {:?}", world.counters());
    }
}
