//! How updates change a view.

use ibiscroft_core::fleet::{Change, Incarnation, Target, TargetState, View};
use ibiscroft_core::ids::{Generation, ServiceName, TargetName, ZoneName};

use super::world::{configuration, delta, full, member, target};
use crate::support::at;

fn usable(view: &View) -> Vec<String> {
    let service = ServiceName::new("register");
    view.usable_targets(&service).map(|target| target.name.to_string()).collect()
}

fn gone(name: &str) -> Change {
    Change::TargetGone(TargetName::new(name))
}

fn draining(name: &str) -> Target {
    Target { state: TargetState::Draining, sequence: 2, ..target(name, "a") }
}

#[test]
fn only_ready_targets_outside_evacuated_zones_are_usable() {
    struct Case {
        name: &'static str,
        changes: Vec<Change>,
        usable: &'static [&'static str],
    }
    let out = || Change::ZoneOut(ZoneName::new("a"));
    let cases = [
        Case { name: "ready", changes: vec![], usable: &["t1", "t2"] },
        Case { name: "draining", changes: vec![Change::Target(draining("t1"))], usable: &["t2"] },
        Case { name: "gone", changes: vec![gone("t1")], usable: &["t2"] },
        Case { name: "zone evacuated", changes: vec![out()], usable: &["t2"] },
        Case {
            name: "evacuation ended",
            changes: vec![out(), Change::ZoneIn(ZoneName::new("a"))],
            usable: &["t1", "t2"],
        },
    ];
    for case in cases {
        let mut view = View::default();
        let targets = [target("t1", "a"), target("t2", "b")].map(Change::Target);
        view.apply(at(0), full(1, targets.into()));
        view.apply(at(1), delta(2, case.changes));
        assert_eq!(usable(&view), case.usable, "{}", case.name);
    }
}

#[test]
fn earlier_registration_of_a_target_is_ignored() {
    struct Case {
        name: &'static str,
        incarnation: u64,
        sequence: u64,
        state: TargetState,
        usable: bool,
    }
    let cases = [
        Case {
            name: "same incarnation, earlier sequence",
            incarnation: 5,
            sequence: 6,
            state: TargetState::Ready,
            usable: false,
        },
        Case {
            name: "same incarnation, later sequence",
            incarnation: 5,
            sequence: 8,
            state: TargetState::Ready,
            usable: true,
        },
        Case {
            name: "later incarnation",
            incarnation: 6,
            sequence: 1,
            state: TargetState::Ready,
            usable: true,
        },
        Case {
            name: "earlier incarnation",
            incarnation: 4,
            sequence: 9,
            state: TargetState::Ready,
            usable: false,
        },
    ];
    for case in cases {
        let mut view = View::default();
        let known = Target { incarnation: Incarnation(5), sequence: 7, ..draining("t1") };
        view.apply(at(0), full(1, vec![Change::Target(known)]));
        let registration = Target {
            incarnation: Incarnation(case.incarnation),
            sequence: case.sequence,
            state: case.state,
            ..target("t1", "a")
        };
        view.apply(at(1), delta(2, vec![Change::Target(registration)]));
        assert_eq!(!usable(&view).is_empty(), case.usable, "{}", case.name);
    }
}

#[test]
fn configuration_is_not_replaced_by_an_older_one() {
    let mut view = View::default();
    let config = |version| Change::Configuration(Box::new(configuration(version, vec![])));
    for (revision, version, in_force) in [(1, 3, 3), (2, 5, 5), (3, 4, 5), (4, 6, 6)] {
        view.apply(at(0), delta(revision, vec![config(version)]));
        assert_eq!(view.configuration_version(), Generation(in_force), "after version {version}");
    }
    view.apply(at(1), full(9, vec![config(2)]));
    assert_eq!(
        view.configuration_version(),
        Generation(6),
        "after a full update with an older version"
    );
}

#[test]
fn update_to_an_older_revision_is_ignored() {
    let mut view = View::default();
    view.apply(at(0), full(10, vec![Change::Target(target("t1", "a"))]));
    assert!(view.apply(at(1), full(9, vec![])).is_empty());
    assert!(view.apply(at(1), delta(9, vec![gone("t1")])).is_empty());
    assert_eq!(usable(&view), ["t1"]);
}

#[test]
fn full_update_removes_entries_that_it_does_not_list() {
    let mut view = View::default();
    let known = vec![
        Change::Target(target("t1", "a")),
        Change::Target(target("t2", "a")),
        Change::Member(member("g1", "a", 1)),
        Change::ZoneOut(ZoneName::new("a")),
    ];
    view.apply(at(0), full(1, known));
    let applied = view.apply(at(1), full(2, vec![Change::Target(target("t2", "a"))]));
    assert_eq!(applied.len(), 3, "{applied:?}");
    assert_eq!(usable(&view), ["t2"]);
    assert_eq!(view.member_count(), 0);
}

#[test]
fn targets_that_lapse_in_an_outage_stay_usable_for_a_grace_period() {
    struct Case {
        name: &'static str,
        changes: Vec<Change>,
        in_grace_period: &'static [&'static str],
        after_grace_period: &'static [&'static str],
    }
    let renewed = Target { sequence: 9, ..target("t1", "a") };
    let cases = [
        Case {
            name: "not renewed",
            changes: vec![gone("t1")],
            in_grace_period: &["t1"],
            after_grace_period: &[],
        },
        Case {
            name: "renewed",
            changes: vec![gone("t1"), Change::Target(renewed)],
            in_grace_period: &["t1"],
            after_grace_period: &["t1"],
        },
        Case {
            name: "draining before",
            changes: vec![Change::Target(draining("t1")), gone("t1")],
            in_grace_period: &[],
            after_grace_period: &[],
        },
    ];
    for case in cases {
        let mut view = View::default();
        view.apply(at(0), full(1, vec![Change::Target(target("t1", "a"))]));
        view.note_store_recovered(at(10_000));
        view.apply(at(10_001), delta(2, case.changes));
        assert!(view.expire(at(11_999)).is_empty(), "{}", case.name);
        assert_eq!(usable(&view), case.in_grace_period, "{} during the grace period", case.name);
        view.expire(at(12_000));
        assert_eq!(usable(&view), case.after_grace_period, "{} after the grace period", case.name);
    }
}

#[test]
fn full_update_reproduces_the_view() {
    let mut view = View::default();
    let known = vec![
        Change::Configuration(Box::new(configuration(4, vec![]))),
        Change::Target(target("t1", "a")),
        Change::Member(member("g1", "a", 1)),
        Change::ZoneOut(ZoneName::new("b")),
    ];
    view.apply(at(0), full(7, known));
    let mut copy = View::default();
    copy.apply(at(0), view.to_full_update(std::time::Duration::ZERO));
    assert_eq!(format!("{copy:?}"), format!("{view:?}"));
}
