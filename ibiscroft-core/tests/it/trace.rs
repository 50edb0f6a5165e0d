//! Replay of traces: JSON lines with a title, steps and stated outcomes.

use std::fmt::Debug;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A world that steps lead to an outcome.
pub(crate) trait Replay: Default {
    type Step: DeserializeOwned;
    type Outcome: DeserializeOwned + PartialEq + Debug;

    fn step(&mut self, step: &Self::Step);

    fn outcome(&self) -> Self::Outcome;
}

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line<S, O> {
    /// What the trace shows.
    Title(String),
    /// A step.
    Step(S),
    /// What must hold after the steps before it.
    Outcome(O),
}

/// Replays each trace under `traces/DIR`.
pub(crate) fn replay_all<R: Replay>(dir: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces").join(dir);
    let mut replayed = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let checks = replay::<R>(&fs::read_to_string(&path).unwrap(), &path);
        assert!(checks > 0, "{} states no outcome", path.display());
        replayed += 1;
    }
    assert!(replayed > 0, "no trace");
}

fn replay<R: Replay>(trace: &str, path: &Path) -> usize {
    let mut world = R::default();
    let mut checks = 0;
    for (number, line) in trace.lines().enumerate() {
        match serde_json::from_str(line).unwrap() {
            Line::<R::Step, R::Outcome>::Title(title) => assert!(!title.is_empty()),
            Line::Step(step) => world.step(&step),
            Line::Outcome(expected) => {
                assert_eq!(world.outcome(), expected, "{}:{}", path.display(), number + 1);
                checks += 1;
            }
        }
    }
    checks
}
