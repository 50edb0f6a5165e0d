//! Replay of traces: files of JSON lines with a title, steps and expected outcomes.

use std::fmt::Debug;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A simulation that a trace can drive.
pub(crate) trait Replay: Default {
    type Step: DeserializeOwned;
    type Outcome: DeserializeOwned + PartialEq + Debug;

    /// Applies one step.
    fn step(&mut self, step: &Self::Step);

    /// Returns the outcome of all steps so far.
    fn outcome(&self) -> Self::Outcome;
}

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line<S, O> {
    /// Title of the trace.
    Title(String),
    /// A step to apply.
    Step(S),
    /// Expected outcome of the steps before it.
    Outcome(O),
}

/// Replays each trace in the directory `traces/DIR` of the workspace.
///
/// # Panics
///
/// Panics when an outcome differs from the expected one, when a trace has no expected outcome
/// or when there is no trace.
pub(crate) fn replay_all<R: Replay>(dir: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces").join(dir);
    let mut trace_count = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let checks = replay::<R>(&fs::read_to_string(&path).unwrap(), &path);
        assert!(checks > 0, "{}: no expected outcome", path.display());
        trace_count += 1;
    }
    assert!(trace_count > 0, "no trace found");
}

/// Replays one trace and returns the number of outcomes that were checked.
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
