//! Tests of `leaving`.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::leaving::{LeavingTargets, StateReport};

fn response(run: &str, draining: bool, sent_at: u64) -> StateReport {
    StateReport::Response { run: RunId::new(run), draining, sent_at: Tick::from_millis(sent_at) }
}

fn notification(run: &str) -> StateReport {
    StateReport::PeerNotification { run: RunId::new(run) }
}

const fn instance_list(leaving: bool) -> StateReport {
    StateReport::InstanceList { leaving }
}

/// Reports at intervals of 10 ms from 10 ms on, and whether the target is leaving afterwards.
struct Case {
    name: &'static str,
    reports: Vec<StateReport>,
    is_leaving: bool,
}

#[test]
fn target_leaves_on_any_report_and_returns_only_on_matching_evidence() {
    let cases = [
        Case { name: "serves", reports: vec![response("a", false, 1)], is_leaving: false },
        Case { name: "drains", reports: vec![response("a", true, 1)], is_leaving: true },
        Case {
            name: "drains according to a peer",
            reports: vec![notification("a")],
            is_leaving: true,
        },
        Case { name: "listed as leaving", reports: vec![instance_list(true)], is_leaving: true },
        Case {
            name: "serving response to a request sent before the drain",
            reports: vec![response("a", true, 1), response("a", false, 9)],
            is_leaving: true,
        },
        Case {
            name: "serving response of an older run to a request sent before the drain",
            reports: vec![response("b", true, 1), response("a", false, 9)],
            is_leaving: true,
        },
        Case {
            name: "the same run serves again",
            reports: vec![response("a", true, 1), response("a", false, 11)],
            is_leaving: false,
        },
        Case {
            name: "a newer run serves",
            reports: vec![response("a", true, 1), response("b", false, 11)],
            is_leaving: false,
        },
        Case {
            name: "late notification of the replaced run",
            reports: vec![response("a", true, 1), response("b", false, 11), notification("a")],
            is_leaving: false,
        },
        Case {
            name: "the newer run drains as well",
            reports: vec![response("a", true, 1), response("b", false, 11), notification("b")],
            is_leaving: true,
        },
        Case {
            name: "the instance list lags and shows it as live",
            reports: vec![response("a", true, 1), instance_list(false)],
            is_leaving: true,
        },
        Case {
            name: "listed as leaving, the same run serves",
            reports: vec![response("a", false, 1), instance_list(true), response("a", false, 21)],
            is_leaving: true,
        },
        Case {
            name: "listed as leaving, a newer run serves",
            reports: vec![response("a", false, 1), instance_list(true), response("b", false, 21)],
            is_leaving: false,
        },
        Case {
            name: "the instance list lags after a newer run serves",
            reports: vec![
                response("a", false, 1),
                instance_list(true),
                response("b", false, 21),
                instance_list(true),
            ],
            is_leaving: false,
        },
        Case {
            name: "listed as live again",
            reports: vec![instance_list(true), instance_list(false)],
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
fn only_the_first_report_of_a_drain_is_forwarded_to_peers() {
    let target = TargetName::new("register-01");
    let mut leaving = LeavingTargets::default();
    let now = Tick::from_millis(10);
    let run = RunId::new("a");
    assert_eq!(leaving.on_state_report(&target, &instance_list(true), now), None);
    assert_eq!(leaving.on_state_report(&target, &response("a", true, 1), now), Some(run.clone()));
    assert_eq!(leaving.on_state_report(&target, &response("a", true, 2), now), None);
    assert_eq!(leaving.on_state_report(&target, &notification("a"), now), None);
    let draining: Vec<_> = leaving.draining().collect();
    assert_eq!(draining, [(&target, &run)]);
    assert_eq!(leaving.serving_run(&target), None);
    leaving.on_state_report(&target, &instance_list(false), now);
    leaving.on_state_report(&target, &response("b", false, 11), Tick::from_millis(20));
    assert_eq!(leaving.serving_run(&target), Some(&RunId::new("b")));
    leaving.retain(|_| false);
    assert!(!leaving.is_leaving(&target));
}
