//! Rules about single findings.

use ibiscroft_core::fleet::{
    FindingOrigin, GatewayCount, Hint, Incarnation, SharedHealth, Target, TargetFinding,
};
use ibiscroft_core::ids::{InstanceName, TargetName, ZoneName};

use crate::fleet::world::target;
use crate::support::at;

const FLEET: GatewayCount = GatewayCount(136);

fn health() -> SharedHealth {
    SharedHealth::new(InstanceName::new("self"), ZoneName::new("a"))
}

fn finding(gateway: &str, target: &str, incarnation: u64) -> TargetFinding {
    TargetFinding {
        gateway: InstanceName::new(gateway),
        target: TargetName::new(target),
        incarnation: Incarnation(incarnation),
    }
}

fn down(health: &mut SharedHealth, now: u64, gateway: &str, target: &str) {
    health.on_down(at(now), FindingOrigin::Source, vec![finding(gateway, target, 1)]);
}

/// Returns targets of one service in one zone.
fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|index| target(&format!("t{index}"), "a")).collect()
}

#[test]
fn target_is_tried_last_after_an_own_finding_or_two_reports_within_2_s() {
    struct Case {
        name: &'static str,
        /// Time and gateway of each report.
        reports: &'static [(u64, &'static str)],
        is_tried_last: bool,
    }
    let cases = [
        Case { name: "none", reports: &[], is_tried_last: false },
        Case { name: "own", reports: &[(0, "self")], is_tried_last: true },
        Case { name: "one other", reports: &[(0, "a")], is_tried_last: false },
        Case { name: "one other twice", reports: &[(0, "a"), (900, "a")], is_tried_last: false },
        Case { name: "two others", reports: &[(0, "a"), (900, "b")], is_tried_last: true },
        Case { name: "too far apart", reports: &[(0, "a"), (2_000, "b")], is_tried_last: false },
    ];
    let all = targets(4);
    for Case { name, reports, is_tried_last } in cases {
        let mut health = health();
        let mut now = 0;
        for (time, gateway) in reports {
            now = *time;
            match *gateway {
                "self" => drop(health.note_unreachable(at(now), &all[0])),
                other => down(&mut health, now, other, "t0"),
            }
        }
        health.due_trials(at(now + 1), &all, FLEET);
        assert_eq!(health.is_tried_last(at(now + 1), &all[0]), is_tried_last, "{name}");
        assert!(!health.is_tried_last(at(now + 1), &all[1]), "{name}");
        assert!(!health.is_tried_last(at(now + 1_000), &all[0]), "{name}: after 1 s");
    }
}

#[test]
fn periods_are_1_2_and_4_s_if_others_confirm_them() {
    let all = targets(4);
    let mut health = health();
    let mut now = 0;
    for (round, period) in [1_000, 2_000, 4_000, 4_000].into_iter().enumerate() {
        down(&mut health, now, "a", "t0");
        down(&mut health, now + 1, "b", "t0");
        health.due_trials(at(now + 2), &all, FLEET);
        assert!(health.is_tried_last(at(now + period), &all[0]), "round {round}");
        assert!(!health.is_tried_last(at(now + period + 1), &all[0]), "round {round}");
        now += period + 2_100;
    }
}

#[test]
fn own_finding_that_nobody_confirms_always_lasts_1_s() {
    let all = targets(4);
    let mut health = health();
    for round in 0..5 {
        let now = round * 1_010;
        health.note_unreachable(at(now), &all[0]);
        assert!(health.is_tried_last(at(now + 999), &all[0]), "round {round}");
        assert!(!health.is_tried_last(at(now + 1_000), &all[0]), "round {round}");
    }
}

#[test]
fn finding_does_not_affect_a_newer_run() {
    let all = targets(4);
    let restarted = Target { incarnation: Incarnation(2), ..all[0].clone() };
    let mut health = health();
    health.note_unreachable(at(0), &all[0]);
    assert!(health.is_tried_last(at(1), &all[0]));
    assert!(!health.is_tried_last(at(1), &restarted));
    health.note_unreachable(at(2), &restarted);
    assert!(health.is_tried_last(at(3), &restarted));
    let old = vec![finding("a", "t0", 1)];
    health.on_up(at(4), FindingOrigin::Source, old);
    assert!(health.is_tried_last(at(5), &restarted), "withdrawal of the previous run");
}

#[test]
fn success_withdraws_and_gateways_return_one_after_the_other() {
    let all = targets(4);
    let mut returned = Vec::new();
    for index in 0..100 {
        let mut health =
            SharedHealth::new(InstanceName::new(format!("g{index}")), ZoneName::new("a"));
        health.note_unreachable(at(0), &all[0]);
        let started = health.on_up(at(100), FindingOrigin::Source, vec![finding("a", "t0", 1)]);
        assert_eq!(started, [TargetName::new("t0")]);
        let at_ms = (100..).find(|now| !health.is_tried_last(at(*now), &all[0]));
        returned.push(at_ms.unwrap());
    }
    let until = |end: u64| returned.iter().filter(|time| **time < end).count();
    assert!((10..40).contains(&until(175)), "{}", until(175));
    assert_eq!(until(401), 100);
}

#[test]
fn reports_about_most_targets_of_a_zone_are_checked_before_they_are_believed() {
    let all = targets(10);
    let report = |health: &mut SharedHealth| {
        for target in &all {
            down(health, 0, "a", target.name.as_str());
            down(health, 0, "b", target.name.as_str());
        }
    };
    let tried_last = |health: &SharedHealth, now| {
        all.iter().filter(|target| health.is_tried_last(at(now), target)).count()
    };
    let mut health = health();
    report(&mut health);
    let checks = health.due_trials(at(1), &all, FLEET);
    assert_eq!(checks.len(), 2);
    assert_eq!(tried_last(&health, 2), 0);
    for check in &checks {
        health.note_unreachable(at(3), check);
    }
    health.due_trials(at(4), &all, FLEET);
    assert_eq!(tried_last(&health, 5), 10, "both checks failed");

    let mut health = self::health();
    report(&mut health);
    for check in health.due_trials(at(1), &all, FLEET) {
        assert!(health.note_success(at(3), check));
    }
    health.due_trials(at(4), &all, FLEET);
    assert_eq!(tried_last(&health, 5), 0, "both checks succeeded");
}

/// Pattern: a source forwards the finding of a follower to all followers, also to its origin.
#[test]
fn finding_is_forwarded_once() {
    let mut health = health();
    let list = || vec![finding("a", "t0", 1)];
    health.on_down(at(0), FindingOrigin::Follower, list());
    let messages = health.take_messages(at(0)).unwrap();
    assert_eq!(messages.to_source, [Hint::TargetDown(list())]);
    assert_eq!(messages.to_followers, [Hint::TargetDown(list())]);
    health.on_down(at(200), FindingOrigin::Source, list());
    assert_eq!(health.take_messages(at(300)), None);
    health.on_up(at(400), FindingOrigin::Source, list());
    let messages = health.take_messages(at(500)).unwrap();
    assert_eq!(messages.to_source, []);
    assert_eq!(messages.to_followers, [Hint::TargetUp(list())]);
    health.on_up(at(600), FindingOrigin::Source, list());
    health.on_down(at(700), FindingOrigin::Source, list());
    assert_eq!(health.take_messages(at(1_000)), None, "outdated report");
}

#[test]
fn findings_and_messages_are_bounded() {
    let mut health = health();
    for index in 0..10_000 {
        down(&mut health, 0, "a", &format!("t{index}"));
        down(&mut health, 0, "b", &format!("t{index}"));
    }
    let unknown = targets(0);
    health.due_trials(at(1), &unknown, FLEET);
    assert!(health.tried_last_count(at(1)) <= 4_096);
    let messages = health.take_messages(at(1)).unwrap();
    assert!(matches!(&messages.to_followers[..], [Hint::TargetDown(list)] if list.len() <= 128));
    health.due_trials(at(10_000), &unknown, FLEET);
    assert_eq!(health.tried_last_count(at(10_000)), 0);
}

/// Pattern: the root finds that a target responds, but has sent too many findings to tell it; the
/// same finding of another gateway was taken for known and not forwarded.
#[test]
fn withdrawal_that_waits_for_the_rate_limit_is_replaced_by_that_of_another_gateway() {
    let all = targets(20);
    let mut health = health();
    for target in &all {
        health.note_unreachable(at(0), target);
    }
    health.take_messages(at(0));
    for target in &all {
        health.note_success(at(200), target);
    }
    let count = |health: &mut SharedHealth, now| {
        let messages = health.take_messages(at(now)).unwrap();
        match &messages.to_followers[..] {
            [Hint::TargetUp(list)] => list.len(),
            other => panic!("{other:?}"),
        }
    };
    assert!(count(&mut health, 200) < 20);
    for target in &all {
        let list = vec![finding("a", target.name.as_str(), 1)];
        health.on_up(at(210), FindingOrigin::Follower, list);
    }
    assert!(count(&mut health, 400) > 15);
}
