//! State machine test and trace replay of registers, gossip and freshness in a cluster.

use std::collections::BTreeSet;
use std::path::Path;

use ibiscroft_core::Tick;
use ibiscroft_core::freshness::MIN_PEER_RUNNING_TIME;
use ibiscroft_core::gossip::Digest;
use ibiscroft_core::ids::{ChangeId, Generation, InstanceName};
use ibiscroft_core::register::Stamp;
use ibiscroft_core::registers::{RegisterMessage, Registers};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::cluster::{Cluster, GATEWAYS, Step, ZONES};

/// Least number of gateways that are neither paused nor cut off.
const MIN_UP_GATEWAYS: usize = 3;
/// Largest number of links between gateways that are cut at once.
const MAX_CUT_LINKS: usize = 2;

/// Active faults, from which the steps that have an effect are chosen.
#[derive(Clone, Debug, Default)]
struct Faults {
    paused: BTreeSet<usize>,
    cut: BTreeSet<usize>,
    cut_links: usize,
    is_store_down: bool,
    has_snapshot: bool,
}

impl Faults {
    fn is_up(&self, index: usize) -> bool {
        !self.paused.contains(&index) && !self.cut.contains(&index)
    }

    fn up_count(&self) -> usize {
        (0..GATEWAYS).filter(|index| self.is_up(*index)).count()
    }
}

impl ReferenceStateMachine for Faults {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let gateway = 0..GATEWAYS;
        let zone = 0..ZONES.len();
        prop_oneof![
            8 => (1_u64..80).prop_map(|ticks| Step::WaitMs(ticks * 50)),
            2 => Just(Step::ChangeConfiguration),
            4 => zone.clone().prop_map(Step::ZoneOut),
            2 => zone.clone().prop_map(Step::ZoneIn),
            1 => (zone.clone(), zone).prop_map(|(first, second)| Step::Race(first, second)),
            3 => gateway.clone().prop_map(Step::Pause),
            3 => gateway.clone().prop_map(Step::Resume),
            1 => gateway.clone().prop_map(Step::Cut),
            2 => gateway.clone().prop_map(Step::Heal),
            2 => gateway.clone().prop_map(Step::Restart),
            1 => (gateway.clone(), gateway).prop_map(|(first, second)| Step::CutLink(first, second)),
            1 => Just(Step::HealLinks),
            2 => Just(Step::StoreDown),
            2 => Just(Step::StoreUp),
            1 => Just(Step::Snapshot),
            1 => Just(Step::Rollback),
        ]
        .boxed()
    }

    fn preconditions(faults: &Self, step: &Step) -> bool {
        match step {
            Step::Pause(index) | Step::Cut(index) => {
                faults.is_up(*index) && faults.up_count() > MIN_UP_GATEWAYS
            }
            Step::Resume(index) => faults.paused.contains(index),
            Step::Heal(index) => faults.cut.contains(index),
            Step::Restart(index) => faults.is_up(*index) && faults.up_count() > MIN_UP_GATEWAYS,
            Step::CutLink(first, second) => first != second && faults.cut_links < MAX_CUT_LINKS,
            Step::HealLinks => faults.cut_links > 0,
            Step::StoreDown => !faults.is_store_down,
            Step::StoreUp => faults.is_store_down,
            Step::Rollback => faults.has_snapshot,
            _ => true,
        }
    }

    fn apply(mut faults: Self, step: &Step) -> Self {
        match step {
            Step::Pause(index) => drop(faults.paused.insert(*index)),
            Step::Resume(index) => drop(faults.paused.remove(index)),
            Step::Cut(index) => drop(faults.cut.insert(*index)),
            Step::Heal(index) => drop(faults.cut.remove(index)),
            Step::CutLink(..) => faults.cut_links += 1,
            Step::HealLinks => faults.cut_links = 0,
            Step::StoreDown => faults.is_store_down = true,
            Step::StoreUp => faults.is_store_down = false,
            Step::Snapshot => faults.has_snapshot = true,
            _ => {}
        }
        faults
    }
}

struct RegistersTest;

impl StateMachineTest for RegistersTest {
    type SystemUnderTest = Cluster;
    type Reference = Faults;

    fn init_test(_: &Faults) -> Cluster {
        Cluster::new()
    }

    fn apply(mut cluster: Cluster, _: &Faults, step: Step) -> Cluster {
        cluster.apply(&step);
        cluster
    }

    fn teardown(mut cluster: Cluster, _: Faults) {
        cluster.recover_and_check();
    }
}

/// Returns a configuration with a fixed seed and number of cases.
///
/// `PROPTEST_RNG_SEED` and `PROPTEST_CASES` override them.
fn config() -> Config {
    let mut config = Config { failure_persistence: None, ..Config::default() };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 128;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(4);
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn registers_never_revert_and_converge(sequential 1..60 => RegistersTest);
}

#[test]
fn pong_with_newer_registers_confirms_nothing() {
    let names = ["gw-0", "gw-1"].map(InstanceName::new);
    let newer = Stamp { generation: Generation(1), change_id: ChangeId::new("a") };
    for (digest, is_confirmation) in [
        (Digest::new(None, None), true),
        (Digest::new(Some(&newer), None), false),
        (Digest::new(None, Some(&newer)), false),
    ] {
        let mut registers = Registers::new(names[0].clone(), 1, Tick::ZERO);
        registers.set_roster(names.to_vec(), Tick::ZERO);
        registers.on_tick(Tick::ZERO);
        let pong = RegisterMessage::Pong { nonce: 1, digest, running_for: MIN_PEER_RUNNING_TIME };
        registers.on_message(&names[1], &pong, Tick::from_millis(1));
        assert_eq!(registers.deadline() > Tick::from_millis(1), is_confirmation, "{digest:?}");
    }
}

#[test]
fn replayed_traces_have_their_recorded_outcome() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces/registers");
    let mut traces: Vec<_> =
        std::fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    traces.sort();
    assert!(!traces.is_empty());
    for path in traces {
        println!("{}", path.display());
        replay(&std::fs::read_to_string(path).unwrap());
    }
}

/// Expected state at the end of a trace.
#[derive(Debug, serde::Deserialize)]
struct Outcome {
    /// Zones that are out of service on every gateway.
    out: Vec<String>,
    /// Generation of the configuration on every gateway.
    configuration: u64,
}

/// One line of a trace.
#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// Description of the trace.
    About(String),
    /// An event or a fault.
    Step(Step),
    /// Expected state after all faults have ended.
    Outcome(Outcome),
}

fn replay(text: &str) {
    let mut cluster = Cluster::new();
    let mut has_outcome = false;
    for line in text.lines() {
        match serde_json::from_str::<Line>(line).unwrap() {
            Line::About(about) => println!("{about}"),
            Line::Step(step) => cluster.apply(&step),
            Line::Outcome(outcome) => {
                has_outcome = true;
                check_outcome(&mut cluster, &outcome);
            }
        }
    }
    assert!(has_outcome, "trace states no outcome");
}

fn check_outcome(cluster: &mut Cluster, outcome: &Outcome) {
    cluster.recover_and_check();
    for gateway in &cluster.gateways {
        let zones = gateway.registers.zones().unwrap();
        let mut out: Vec<String> = zones.out.iter().map(ToString::to_string).collect();
        out.sort();
        assert_eq!(out, outcome.out);
        let configuration = gateway.registers.configuration().unwrap();
        assert_eq!(configuration.generation.get(), outcome.configuration);
    }
}
