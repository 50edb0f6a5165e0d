//! Replay of recorded traces against their stated outcomes.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use ibiscroft_core::claims::ClaimVerdict;
use serde::{Deserialize, Serialize};

use super::step::Step;
use super::world::World;

/// One line of a trace.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// What the trace shows.
    Title(String),
    /// A step.
    Step(Step),
    /// What must hold after the steps before it.
    Outcome(Outcome),
}

/// What the callers were told and what ran.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Outcome {
    /// How often each key ran.
    runs: BTreeMap<usize, u32>,
    /// Verdict of each order in the order of arrival.
    verdicts: Vec<String>,
}

#[test]
fn traces_end_as_stated() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces/claims");
    let mut replayed = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        replay(&fs::read_to_string(&path).unwrap(), &path.display().to_string());
        replayed += 1;
    }
    assert!(replayed > 0);
}

fn replay(trace: &str, name: &str) {
    let mut world = World::new();
    let mut checks = 0;
    for line in trace.lines() {
        match serde_json::from_str::<Line>(line).unwrap() {
            Line::Title(_) => {}
            Line::Step(step) => world.step(&step),
            Line::Outcome(expected) => {
                assert_eq!(outcome(&world), expected, "{name}");
                checks += 1;
            }
        }
    }
    assert!(checks > 0, "{name} states no outcome");
}

fn outcome(world: &World) -> Outcome {
    let verdicts = world.orders.iter().map(|order| verdict_name(order.verdict.as_ref()));
    Outcome { runs: world.runs.clone(), verdicts: verdicts.collect() }
}

fn verdict_name(verdict: Option<&ClaimVerdict>) -> String {
    let Some(verdict) = verdict else {
        return "waiting".to_string();
    };
    match verdict {
        ClaimVerdict::Replay(answer) => format!("replay {}", answer.status),
        other => format!("{other:?}"),
    }
}
