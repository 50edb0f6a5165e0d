//! Tests of `leaving`.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::leaving::{LeavingTargets, StateReport};

fn answer(run: &str, draining: bool, sent_at: u64) -> StateReport {
    StateReport::Response { run: RunId::new(run), draining, sent_at: Tick::from_millis(sent_at) }
}

fn word(run: &str) -> StateReport {
    StateReport::PeerNotification { run: RunId::new(run) }
}

const fn listed(leaving: bool) -> StateReport {
    StateReport::InstanceList { leaving }
}

/// Sightings, one every 10 ms from 10 ms on, and whether the target leaves after the last.
struct Case {
    name: &'static str,
    reports: Vec<StateReport>,
    is_leaving: bool,
}

#[test]
fn a_target_leaves_on_any_word_and_returns_on_proof() {
    let cases = [
        Case { name: "serving", reports: vec![answer("a", false, 1)], is_leaving: false },
        Case { name: "drains", reports: vec![answer("a", true, 1)], is_leaving: true },
        Case { name: "a peer's word", reports: vec![word("a")], is_leaving: true },
        Case { name: "listed", reports: vec![listed(true)], is_leaving: true },
        Case {
            name: "an answer to an earlier request proves nothing",
            reports: vec![answer("a", true, 1), answer("a", false, 9)],
            is_leaving: true,
        },
        Case {
            name: "an answer of an older run proves nothing",
            reports: vec![answer("b", true, 1), answer("a", false, 9)],
            is_leaving: true,
        },
        Case {
            name: "the same run serves again",
            reports: vec![answer("a", true, 1), answer("a", false, 11)],
            is_leaving: false,
        },
        Case {
            name: "a newer run serves",
            reports: vec![answer("a", true, 1), answer("b", false, 11)],
            is_leaving: false,
        },
        Case {
            name: "late word of the replaced run",
            reports: vec![answer("a", true, 1), answer("b", false, 11), word("a")],
            is_leaving: false,
        },
        Case {
            name: "the newer run drains too",
            reports: vec![answer("a", true, 1), answer("b", false, 11), word("b")],
            is_leaving: true,
        },
        Case {
            name: "the lagging list still says live",
            reports: vec![answer("a", true, 1), listed(false)],
            is_leaving: true,
        },
        Case {
            name: "listed as leaving, its answers do not bring it back",
            reports: vec![answer("a", false, 1), listed(true), answer("a", false, 21)],
            is_leaving: true,
        },
        Case {
            name: "listed as leaving, replaced meanwhile",
            reports: vec![answer("a", false, 1), listed(true), answer("b", false, 21)],
            is_leaving: false,
        },
        Case {
            name: "the list still lags after the replacement",
            reports: vec![
                answer("a", false, 1),
                listed(true),
                answer("b", false, 21),
                listed(true),
            ],
            is_leaving: false,
        },
        Case {
            name: "listed as live again",
            reports: vec![listed(true), listed(false)],
            is_leaving: false,
        },
    ];
    for case in cases {
        let target = TargetName::new("register-01");
        let mut leaving = LeavingTargets::default();
        let mut at = 0;
        for report in &case.reports {
            at += 10;
            leaving.on_state_report(&target, report, Tick::from_millis(at));
        }
        assert_eq!(leaving.is_leaving(&target), case.is_leaving, "{}", case.name);
        assert_eq!(leaving.leaving().count(), usize::from(case.is_leaving), "{}", case.name);
    }
}

#[test]
fn drain_signals_spread_once_and_other_causes_do_not() {
    let target = TargetName::new("register-01");
    let mut leaving = LeavingTargets::default();
    let now = Tick::from_millis(10);
    let run = RunId::new("a");
    assert_eq!(leaving.on_state_report(&target, &listed(true), now), None);
    assert_eq!(leaving.on_state_report(&target, &answer("a", true, 1), now), Some(run.clone()));
    assert_eq!(leaving.on_state_report(&target, &answer("a", true, 2), now), None);
    assert_eq!(leaving.on_state_report(&target, &word("a"), now), None);
    let draining: Vec<_> = leaving.draining().collect();
    assert_eq!(draining, [(&target, &run)]);
    assert_eq!(leaving.serving_run(&target), None);
    leaving.on_state_report(&target, &listed(false), now);
    leaving.on_state_report(&target, &answer("b", false, 11), Tick::from_millis(20));
    assert_eq!(leaving.serving_run(&target), Some(&RunId::new("b")));
    leaving.retain(|_| false);
    assert!(!leaving.is_leaving(&target));
}
