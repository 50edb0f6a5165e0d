//! Replay of recorded traces of cold start.

use serde::Deserialize;

use super::rules::BrokenRule;
use super::step::Step;
use super::world::World;

#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Begin { seed: u64 },
    Step(Step),
    Outcome { cold_max: Vec<usize>, all_warm: bool },
}

struct Case {
    name: &'static str,
    text: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "cold-start-frozen-holders",
        text: include_str!("../../../../traces/cold-start-frozen-holders.jsonl"),
    },
    Case {
        name: "cold-start-store-outage",
        text: include_str!("../../../../traces/cold-start-store-outage.jsonl"),
    },
    Case {
        name: "cold-start-late-store-answers",
        text: include_str!("../../../../traces/cold-start-late-store-answers.jsonl"),
    },
];

#[test]
fn replayed_traces_have_their_recorded_outcome() {
    for case in CASES {
        let mut world = World::new(0, BrokenRule::None);
        let mut has_outcome = false;
        for line in case.text.lines() {
            match serde_json::from_str(line).expect(line) {
                Line::Begin { seed } => world = World::new(seed, BrokenRule::None),
                Line::Step(step) => world.apply(&step),
                Line::Outcome { cold_max, all_warm } => {
                    let actual: Vec<usize> =
                        world.counters().iter().map(|counters| counters.cold_max).collect();
                    assert_eq!(actual, cold_max, "{}", case.name);
                    assert_eq!(world.all_warm(), all_warm, "{}", case.name);
                    has_outcome = true;
                }
            }
        }
        assert_eq!(world.violation, None, "{}", case.name);
        assert!(has_outcome, "{}", case.name);
    }
}
