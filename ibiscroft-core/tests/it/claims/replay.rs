//! Replay of the recorded traces in `traces/claims`.

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
    /// Description of the trace.
    Title(String),
    /// A step.
    Step(Step),
    /// Expected outcome of the steps before this line.
    Outcome(Outcome),
}

/// Verdicts on the requests and the executions at the backend server.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Outcome {
    /// Number of executions of each key.
    runs: BTreeMap<usize, u32>,
    /// Verdict on each request, in the order of arrival.
    verdicts: Vec<String>,
}

#[test]
fn replayed_traces_have_their_recorded_outcome() {
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
    assert!(checks > 0, "{name} contains no outcome");
}

fn outcome(world: &World) -> Outcome {
    let verdicts = world.requests.iter().map(|request| verdict_name(request.verdict.as_ref()));
    Outcome { runs: world.executions.clone(), verdicts: verdicts.collect() }
}

fn verdict_name(verdict: Option<&ClaimVerdict>) -> String {
    let Some(verdict) = verdict else {
        return "waiting".to_string();
    };
    match verdict {
        ClaimVerdict::Replay(response) => format!("replay {}", response.status),
        other => format!("{other:?}"),
    }
}
