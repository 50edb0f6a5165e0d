//! Choice among targets by what they say of their load.

use std::time::Duration;

use ibiscroft_core::fleet::{
    AttemptOutcome, MAX_PROBE_ROUNDS, ProbeDecision, ProbeReport, ProbeSelection,
    SaturationSlowdown, TargetHealth,
};
use ibiscroft_core::ids::Slots;

use crate::support::at;

fn report(running: u32, waiting: u32) -> ProbeReport {
    ProbeReport {
        running,
        waiting,
        slots: Slots(6),
        slowness: 1.0,
        cold_left: Duration::ZERO,
        is_healthy: true,
    }
}

/// One target that answers.
struct Answer {
    report: ProbeReport,
    extra: f64,
    failure_rate: f64,
}

impl From<ProbeReport> for Answer {
    fn from(report: ProbeReport) -> Self {
        Self { report, extra: 0.0, failure_rate: 0.0 }
    }
}

#[test]
fn the_target_that_answers_soonest_is_chosen() {
    struct Case {
        name: &'static str,
        answers: Vec<Answer>,
        chosen: usize,
        heard: usize,
    }
    let slow = ProbeReport { slowness: 5.0, ..report(0, 0) };
    let cold = ProbeReport { cold_left: Duration::from_secs(1), ..report(0, 0) };
    let ill = ProbeReport { is_healthy: false, ..report(0, 0) };
    let failing = || Answer { failure_rate: 0.8, ..report(0, 0).into() };
    let far = || Answer { extra: 0.4, ..report(0, 0).into() };
    let cases = [
        Case {
            name: "an idle one is taken at once",
            answers: vec![report(1, 0).into(), report(0, 0).into()],
            chosen: 0,
            heard: 1,
        },
        Case {
            name: "a neighbour slows the first",
            answers: vec![slow.into(), report(5, 0).into()],
            chosen: 1,
            heard: 2,
        },
        Case {
            name: "a wait line is worse than the way to another zone",
            answers: vec![report(6, 4).into(), far()],
            chosen: 1,
            heard: 2,
        },
        Case {
            name: "above the knee is worse than the way to another zone",
            answers: vec![report(4, 0).into(), far()],
            chosen: 1,
            heard: 2,
        },
        Case {
            name: "cold is slower",
            answers: vec![cold.into(), report(5, 0).into()],
            chosen: 1,
            heard: 2,
        },
        Case {
            name: "one that fails requests is avoided",
            answers: vec![failing(), report(6, 6).into()],
            chosen: 1,
            heard: 2,
        },
        Case {
            name: "one that says it is ill is the last choice",
            answers: vec![ill.into(), report(6, 12).into()],
            chosen: 1,
            heard: 2,
        },
        Case {
            name: "and is taken if there is no other",
            answers: vec![ill.into()],
            chosen: 0,
            heard: 1,
        },
    ];
    for case in cases {
        let mut probing = ProbeSelection::default();
        for _ in &case.answers {
            probing.note_probe_sent();
        }
        let mut heard = 0;
        let mut sent = None;
        for (index, answer) in case.answers.iter().enumerate() {
            heard += 1;
            let Answer { report, extra, failure_rate } = answer;
            if let ProbeDecision::Send(index) =
                probing.on_report(index, report, *extra, *failure_rate)
            {
                sent = Some(index);
                break;
            }
        }
        assert_eq!((sent, heard), (Some(case.chosen), case.heard), "{}", case.name);
    }
}

/// Load near the knee: while some targets are below it, they are looked for.
#[test]
fn others_are_asked_before_a_crowded_target_is_taken() {
    struct Case {
        name: &'static str,
        report: ProbeReport,
        extra: f64,
        /// Rounds until the target is taken if the others are no better.
        rounds: usize,
    }
    let slow = ProbeReport { slowness: 5.0, ..report(0, 0) };
    let cases = [
        Case { name: "below the knee", report: report(3, 0), extra: 0.0, rounds: 1 },
        Case { name: "below it in another zone", report: report(3, 0), extra: 0.4, rounds: 1 },
        Case { name: "nearly full", report: report(4, 0), extra: 0.0, rounds: 3 },
        Case { name: "a wait line", report: report(6, 3), extra: 0.0, rounds: 4 },
        Case { name: "a neighbour", report: slow, extra: 0.0, rounds: 4 },
    ];
    for Case { name, report, extra, rounds } in cases {
        let mut probing = ProbeSelection::default();
        probing.note_probe_sent();
        probing.on_report(0, &report, extra, 0.0);
        let taken = (0..MAX_PROBE_ROUNDS).find(|round| probing.accepts_best(*round));
        assert_eq!(taken, Some(rounds - 1), "{name}");
    }
    assert!(
        !(0..MAX_PROBE_ROUNDS).any(|round| ProbeSelection::default().accepts_best(round)),
        "nothing known"
    );
}

#[test]
fn silence_of_all_leaves_no_choice() {
    let mut probing = ProbeSelection::default();
    probing.note_probe_sent();
    probing.note_probe_sent();
    assert_eq!(probing.on_failure(), ProbeDecision::Wait);
    assert!(!probing.is_complete());
    assert_eq!(probing.on_failure(), ProbeDecision::Wait);
    assert!(probing.is_complete());
    assert_eq!(probing.best(), None);
}

#[test]
fn cost_rises_with_load() {
    let costs: Vec<f64> = (0..18)
        .map(|load| report(load.min(6), load.saturating_sub(6)).cost(SaturationSlowdown::default()))
        .collect();
    assert!(costs.windows(2).all(|pair| pair[0] <= pair[1]), "{costs:?}");
    assert!(report(3, 0).has_free_slot() && !report(6, 0).has_free_slot());
}

/// Load near the knee: what a nearly full target costs is learned, and services differ in it.
#[test]
fn the_slowdown_of_nearly_full_targets_is_learned() {
    struct Case {
        name: &'static str,
        report: ProbeReport,
        ratio: f64,
        learned: std::ops::RangeInclusive<f64>,
    }
    let assumed = SaturationSlowdown::default().factor();
    let nearly_full = report(4, 0);
    let cases = [
        Case { name: "none", report: nearly_full, ratio: 1.0, learned: 1.0..=1.1 },
        Case { name: "faster by chance", report: nearly_full, ratio: 0.8, learned: 1.0..=1.0 },
        Case { name: "some", report: nearly_full, ratio: 1.7, learned: 1.65..=1.7 },
        Case {
            name: "a target with other trouble",
            report: nearly_full,
            ratio: 12.0,
            learned: assumed..=assumed,
        },
        Case { name: "half full", report: report(2, 0), ratio: 1.7, learned: assumed..=assumed },
        Case { name: "a wait line", report: report(6, 1), ratio: 1.7, learned: assumed..=assumed },
        Case {
            name: "a neighbour",
            report: ProbeReport { slowness: 5.0, ..nearly_full },
            ratio: 1.7,
            learned: assumed..=assumed,
        },
        Case {
            name: "cold",
            report: ProbeReport { cold_left: Duration::from_secs(1), ..nearly_full },
            ratio: 1.7,
            learned: assumed..=assumed,
        },
    ];
    for Case { name, report, ratio, learned } in cases {
        let mut slowdown = SaturationSlowdown::default();
        for _ in 0..30 {
            slowdown.note(&report, ratio);
        }
        assert!(learned.contains(&slowdown.factor()), "{name}: {}", slowdown.factor());
        let cost = report.cost(slowdown) / report.unsaturated_cost();
        let wanted = if report.is_near_saturation() { slowdown.factor() } else { 1.0 };
        assert!((cost - wanted).abs() < 1e-9, "{name}: {cost}");
    }
}

/// Load beyond the knee: who would come late and delay others is refused.
#[test]
fn a_late_answer_is_worth_a_free_slot_that_delays_nobody() {
    struct Case {
        name: &'static str,
        report: ProbeReport,
        slows_down: bool,
        limit_ms: u64,
    }
    let cases = [
        Case { name: "half full", report: report(3, 0), slows_down: true, limit_ms: 900 },
        Case { name: "nearly full", report: report(4, 0), slows_down: true, limit_ms: 300 },
        Case {
            name: "nearly full, of a service that does not mind",
            report: report(4, 0),
            slows_down: false,
            limit_ms: 900,
        },
        Case { name: "full", report: report(6, 0), slows_down: false, limit_ms: 300 },
        Case { name: "a wait line", report: report(6, 2), slows_down: true, limit_ms: 300 },
    ];
    for Case { name, report: found, slows_down, limit_ms } in cases {
        let mut slowdown = SaturationSlowdown::default();
        for _ in 0..30 {
            slowdown.note(&report(4, 0), if slows_down { 1.7 } else { 1.0 });
        }
        let ms = Duration::from_millis;
        assert_eq!(found.max_useful_latency(slowdown, ms(300), ms(900)), ms(limit_ms), "{name}");
        assert_eq!(
            found.max_useful_latency(slowdown, ms(300), ms(200)),
            ms(200),
            "{name}, little time"
        );
    }
}

#[test]
fn unreachable_targets_are_left_alone_for_longer_each_time() {
    let mut health = TargetHealth::default();
    let mut now = at(0);
    for pause in [200, 400, 800, 1_600, 2_000, 2_000] {
        health.note(now, AttemptOutcome::Unreachable);
        let end = now + Duration::from_millis(pause);
        assert!(health.is_excluded(end.before(Duration::from_millis(1))), "{pause} ms");
        assert!(!health.is_excluded(end), "{pause} ms");
        now = end;
    }
    health.note(now, AttemptOutcome::Succeeded);
    health.note(now, AttemptOutcome::Unreachable);
    assert!(!health.is_excluded(now + Duration::from_millis(200)), "an answer starts anew");
}

#[test]
fn failures_weigh_less_with_time_and_answers() {
    let mut health = TargetHealth::default();
    for _ in 0..10 {
        health.note(at(0), AttemptOutcome::Failed);
    }
    let bad = health.failure_rate(at(0));
    assert!(bad > 0.9, "{bad}");
    assert!((health.failure_rate(at(3_000)) - bad / 2.0).abs() < 1e-9);
    health.note(at(0), AttemptOutcome::Succeeded);
    assert!(health.failure_rate(at(0)) < bad);
}
