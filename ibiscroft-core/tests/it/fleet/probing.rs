//! Selection of a target by probes, and health of targets.

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

/// Result of probing one target.
struct ProbeResult {
    report: ProbeReport,
    extra_cost: f64,
    failure_rate: f64,
}

impl From<ProbeReport> for ProbeResult {
    fn from(report: ProbeReport) -> Self {
        Self { report, extra_cost: 0.0, failure_rate: 0.0 }
    }
}

#[test]
fn target_with_the_lowest_cost_is_selected() {
    struct Case {
        name: &'static str,
        results: Vec<ProbeResult>,
        selected: usize,
        /// Results received before the selection.
        received: usize,
    }
    let slow = ProbeReport { slowness: 5.0, ..report(0, 0) };
    let cold = ProbeReport { cold_left: Duration::from_secs(1), ..report(0, 0) };
    let unhealthy = ProbeReport { is_healthy: false, ..report(0, 0) };
    let failing = || ProbeResult { failure_rate: 0.8, ..report(0, 0).into() };
    let far = || ProbeResult { extra_cost: 0.4, ..report(0, 0).into() };
    let cases = [
        Case {
            name: "an idle target is selected at once",
            results: vec![report(1, 0).into(), report(0, 0).into()],
            selected: 0,
            received: 1,
        },
        Case {
            name: "the first target is slowed down by other load on its machine",
            results: vec![slow.into(), report(5, 0).into()],
            selected: 1,
            received: 2,
        },
        Case {
            name: "queued requests cost more than the path to another zone",
            results: vec![report(6, 4).into(), far()],
            selected: 1,
            received: 2,
        },
        Case {
            name: "load above the knee costs more than the path to another zone",
            results: vec![report(4, 0).into(), far()],
            selected: 1,
            received: 2,
        },
        Case {
            name: "a cold target is slower",
            results: vec![cold.into(), report(5, 0).into()],
            selected: 1,
            received: 2,
        },
        Case {
            name: "a target that fails requests is avoided",
            results: vec![failing(), report(6, 6).into()],
            selected: 1,
            received: 2,
        },
        Case {
            name: "an unhealthy target is the last choice",
            results: vec![unhealthy.into(), report(6, 12).into()],
            selected: 1,
            received: 2,
        },
        Case {
            name: "an unhealthy target is selected if there is no other",
            results: vec![unhealthy.into()],
            selected: 0,
            received: 1,
        },
    ];
    for case in cases {
        let mut selection = ProbeSelection::default();
        for _ in &case.results {
            selection.note_probe_sent();
        }
        let mut received = 0;
        let mut selected = None;
        for (index, result) in case.results.iter().enumerate() {
            received += 1;
            let ProbeResult { report, extra_cost, failure_rate } = result;
            if let ProbeDecision::Send(index) =
                selection.on_report(index, report, *extra_cost, *failure_rate)
            {
                selected = Some(index);
                break;
            }
        }
        assert_eq!((selected, received), (Some(case.selected), case.received), "{}", case.name);
    }
}

/// When a service is loaded up to the knee, some targets are still below it and worth finding.
#[test]
fn more_targets_are_probed_before_a_target_above_the_knee_is_accepted() {
    struct Case {
        name: &'static str,
        report: ProbeReport,
        extra_cost: f64,
        /// Rounds after which the target is accepted if the others are no better.
        rounds: usize,
    }
    let slow = ProbeReport { slowness: 5.0, ..report(0, 0) };
    let cases = [
        Case { name: "below the knee", report: report(3, 0), extra_cost: 0.0, rounds: 1 },
        Case {
            name: "below the knee in another zone",
            report: report(3, 0),
            extra_cost: 0.4,
            rounds: 1,
        },
        Case { name: "near saturation", report: report(4, 0), extra_cost: 0.0, rounds: 3 },
        Case { name: "queued requests", report: report(6, 3), extra_cost: 0.0, rounds: 4 },
        Case {
            name: "slowed down by other load on the machine",
            report: slow,
            extra_cost: 0.0,
            rounds: 4,
        },
    ];
    for Case { name, report, extra_cost, rounds } in cases {
        let mut selection = ProbeSelection::default();
        selection.note_probe_sent();
        selection.on_report(0, &report, extra_cost, 0.0);
        let accepted = (0..MAX_PROBE_ROUNDS).find(|round| selection.accepts_best(*round));
        assert_eq!(accepted, Some(rounds - 1), "{name}");
    }
    assert!(
        !(0..MAX_PROBE_ROUNDS).any(|round| ProbeSelection::default().accepts_best(round)),
        "no report received"
    );
}

#[test]
fn no_target_is_selected_if_all_probes_fail() {
    let mut selection = ProbeSelection::default();
    selection.note_probe_sent();
    selection.note_probe_sent();
    assert_eq!(selection.on_failure(), ProbeDecision::Wait);
    assert!(!selection.is_complete());
    assert_eq!(selection.on_failure(), ProbeDecision::Wait);
    assert!(selection.is_complete());
    assert_eq!(selection.best(), None);
}

#[test]
fn cost_rises_with_load() {
    let costs: Vec<f64> = (0..18)
        .map(|load| report(load.min(6), load.saturating_sub(6)).cost(SaturationSlowdown::default()))
        .collect();
    assert!(costs.windows(2).all(|pair| pair[0] <= pair[1]), "{costs:?}");
    assert!(report(3, 0).has_free_slot() && !report(6, 0).has_free_slot());
}

/// Services differ in how much their targets slow down near saturation.
#[test]
fn saturation_slowdown_is_learned_from_responses() {
    struct Case {
        name: &'static str,
        report: ProbeReport,
        ratio: f64,
        learned: std::ops::RangeInclusive<f64>,
    }
    let initial = SaturationSlowdown::default().factor();
    let near_saturation = report(4, 0);
    let cases = [
        Case { name: "none", report: near_saturation, ratio: 1.0, learned: 1.0..=1.1 },
        Case { name: "faster by chance", report: near_saturation, ratio: 0.8, learned: 1.0..=1.0 },
        Case { name: "slowdown", report: near_saturation, ratio: 1.7, learned: 1.65..=1.7 },
        Case {
            name: "slowdown too large for saturation",
            report: near_saturation,
            ratio: 12.0,
            learned: initial..=initial,
        },
        Case { name: "half full", report: report(2, 0), ratio: 1.7, learned: initial..=initial },
        Case {
            name: "queued requests",
            report: report(6, 1),
            ratio: 1.7,
            learned: initial..=initial,
        },
        Case {
            name: "slowed down by other load on the machine",
            report: ProbeReport { slowness: 5.0, ..near_saturation },
            ratio: 1.7,
            learned: initial..=initial,
        },
        Case {
            name: "cold",
            report: ProbeReport { cold_left: Duration::from_secs(1), ..near_saturation },
            ratio: 1.7,
            learned: initial..=initial,
        },
    ];
    for Case { name, report, ratio, learned } in cases {
        let mut slowdown = SaturationSlowdown::default();
        for _ in 0..30 {
            slowdown.note(&report, ratio);
        }
        assert!(learned.contains(&slowdown.factor()), "{name}: {}", slowdown.factor());
        let cost = report.cost(slowdown) / report.unsaturated_cost();
        let expected = if report.is_near_saturation() { slowdown.factor() } else { 1.0 };
        assert!((cost - expected).abs() < 1e-9, "{name}: {cost}");
    }
}

/// Above the knee, a request that would miss its aim and delay others is not worth sending.
#[test]
fn response_after_the_aim_is_useful_only_if_no_request_is_delayed() {
    struct Case {
        name: &'static str,
        report: ProbeReport,
        slows_down: bool,
        limit_ms: u64,
    }
    let cases = [
        Case { name: "half full", report: report(3, 0), slows_down: true, limit_ms: 900 },
        Case { name: "near saturation", report: report(4, 0), slows_down: true, limit_ms: 300 },
        Case {
            name: "near saturation, at a service that does not slow down",
            report: report(4, 0),
            slows_down: false,
            limit_ms: 900,
        },
        Case { name: "full", report: report(6, 0), slows_down: false, limit_ms: 300 },
        Case { name: "queued requests", report: report(6, 2), slows_down: true, limit_ms: 300 },
    ];
    for Case { name, report: probed, slows_down, limit_ms } in cases {
        let mut slowdown = SaturationSlowdown::default();
        for _ in 0..30 {
            slowdown.note(&report(4, 0), if slows_down { 1.7 } else { 1.0 });
        }
        let ms = Duration::from_millis;
        assert_eq!(probed.max_useful_latency(slowdown, ms(300), ms(900)), ms(limit_ms), "{name}");
        assert_eq!(
            probed.max_useful_latency(slowdown, ms(300), ms(200)),
            ms(200),
            "{name}, deadline before the aim"
        );
    }
}

#[test]
fn unreachable_target_is_excluded_with_exponential_backoff() {
    let mut health = TargetHealth::default();
    let mut now = at(0);
    for backoff in [200, 400, 800, 1_600, 2_000, 2_000] {
        health.note(now, AttemptOutcome::Unreachable);
        let end = now + Duration::from_millis(backoff);
        assert!(health.is_excluded(end.before(Duration::from_millis(1))), "{backoff} ms");
        assert!(!health.is_excluded(end), "{backoff} ms");
        now = end;
    }
    health.note(now, AttemptOutcome::Succeeded);
    health.note(now, AttemptOutcome::Unreachable);
    assert!(!health.is_excluded(now + Duration::from_millis(200)), "a success resets the backoff");
}

#[test]
fn failure_rate_decays_with_time_and_successes() {
    let mut health = TargetHealth::default();
    for _ in 0..10 {
        health.note(at(0), AttemptOutcome::Failed);
    }
    let initial = health.failure_rate(at(0));
    assert!(initial > 0.9, "{initial}");
    assert!((health.failure_rate(at(3_000)) - initial / 2.0).abs() < 1e-9);
    health.note(at(0), AttemptOutcome::Succeeded);
    assert!(health.failure_rate(at(0)) < initial);
}

#[test]
fn reset_is_that_of_a_full_target_after_a_report_without_a_free_slot_or_an_old_one() {
    struct Case {
        running: u32,
        age_ms: u64,
        may_be_full: bool,
        likely_has_free_slot: bool,
    }
    let cases = [
        Case { running: 5, age_ms: 0, may_be_full: false, likely_has_free_slot: true },
        Case { running: 5, age_ms: 19, may_be_full: false, likely_has_free_slot: true },
        Case { running: 5, age_ms: 20, may_be_full: false, likely_has_free_slot: false },
        Case { running: 5, age_ms: 50, may_be_full: false, likely_has_free_slot: false },
        Case { running: 5, age_ms: 51, may_be_full: true, likely_has_free_slot: false },
        Case { running: 6, age_ms: 0, may_be_full: true, likely_has_free_slot: false },
    ];
    for Case { running, age_ms, may_be_full, likely_has_free_slot } in cases {
        let (report, age) = (report(running, 0), Duration::from_millis(age_ms));
        assert_eq!(report.may_be_full(age), may_be_full, "{running} {age_ms}");
        assert_eq!(report.likely_has_free_slot(age), likely_has_free_slot, "{running} {age_ms}");
    }
}

#[test]
fn preferred_target_is_selected_at_a_higher_cost_and_the_best_one_if_none_is_preferred() {
    let mut selection = ProbeSelection::default();
    let slow = ProbeReport { slowness: 2.0, ..report(0, 0) };
    let slower = ProbeReport { slowness: 3.0, ..report(0, 0) };
    for (index, report) in [slower, report(0, 0), slow].iter().enumerate() {
        selection.note_probe_sent();
        selection.on_report(index, report, 0.0, 0.0);
    }
    let selected = |preferred: &[usize]| {
        selection.best_preferred(|index| preferred.contains(&index)).map(|(_, index)| index)
    };
    assert_eq!(selected(&[0, 2]), Some(2));
    assert_eq!(selected(&[0]), Some(0));
    assert_eq!(selected(&[]), Some(1));
}
