//! Tests of `roster`.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, StoreVersion, TargetName};
use ibiscroft_core::roster::{
    Change, InstanceRun, LeaseId, Member, Roster, RosterTimings, RosterUpdate,
};

const TIMES: RosterTimings = RosterTimings {
    lease_ttl: Duration::from_millis(5_000),
    lease_margin: Duration::from_millis(500),
    renew_interval: Duration::from_millis(1_000),
    view_validity: Duration::from_millis(3_000),
    takeover_delay: Duration::from_millis(9_000),
};

/// Something the store tells, in order.
enum Told {
    Lease { sent_ms: u64 },
    Own { sent_ms: u64 },
    Nothing { sent_ms: u64 },
    OtherCame { sent_ms: u64 },
    OtherCameAndWent { sent_ms: u64 },
    OwnReplaced { sent_ms: u64 },
}

struct Case {
    name: &'static str,
    told: Vec<Told>,
    now_ms: u64,
    may_grant: bool,
}

fn own() -> InstanceName {
    InstanceName::new("own")
}

/// Returns a target whose rendezvous order starts with `first`.
fn target_of(first: &str) -> TargetName {
    let owned = (0..100)
        .map(|index| format!("target-{index}"))
        .find(|name| ibiscroft_core::rendezvous::owner(name, ["own", "other"]) == Some(first));
    TargetName::new(owned.expect("one of many targets"))
}

fn member(run: &str, version: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member { run: InstanceRun::new(run), address, version: StoreVersion(version) }
}

fn changed(name: &str, member: Option<Member>) -> Vec<Change> {
    vec![Change { name: InstanceName::new(name), member }]
}

fn tell(roster: &mut Roster, told: &Told, revision: u64) {
    let (sent_ms, changes) = match *told {
        Told::Lease { sent_ms } => {
            let sent_at = Tick::from_millis(sent_ms);
            roster.lease_mut().on_confirmed(LeaseId(1), sent_at, TIMES.lease_ttl);
            return;
        }
        Told::Own { sent_ms } => (sent_ms, changed("own", Some(member("run", revision)))),
        Told::Nothing { sent_ms } => (sent_ms, Vec::new()),
        Told::OtherCame { sent_ms } => (sent_ms, changed("other", Some(member("o", revision)))),
        Told::OtherCameAndWent { sent_ms } => (sent_ms, changed("other", None)),
        Told::OwnReplaced { sent_ms } => (sent_ms, changed("own", Some(member("new", revision)))),
    };
    let update = RosterUpdate {
        sent_at: Tick::from_millis(sent_ms),
        revision: StoreVersion(revision),
        is_full: false,
        changes,
    };
    roster.on_update(&update, Tick::from_millis(sent_ms));
}

/// A holder that was told of itself at 1 s and of nothing else until 10 s.
fn steady() -> Vec<Told> {
    let mut told = vec![Told::Lease { sent_ms: 900 }, Told::Own { sent_ms: 1_000 }];
    for second in 2..=10 {
        told.push(Told::Nothing { sent_ms: second * 1_000 });
        told.push(Told::Lease { sent_ms: second * 1_000 });
    }
    told
}

fn steady_and(more: Vec<Told>) -> Vec<Told> {
    steady().into_iter().chain(more).collect()
}

#[test]
fn a_holder_grants_only_while_it_is_certain() {
    let cases = [
        Case { name: "steady", told: steady(), now_ms: 10_100, may_grant: true },
        Case { name: "too early", told: steady(), now_ms: 9_999, may_grant: false },
        Case { name: "old view", told: steady(), now_ms: 13_000, may_grant: false },
        Case {
            name: "view confirmed, lease lapsed",
            told: steady_and(vec![
                Told::Nothing { sent_ms: 12_500 },
                Told::Nothing { sent_ms: 14_500 },
            ]),
            now_ms: 14_600,
            may_grant: false,
        },
        Case {
            name: "view lapsed and came back",
            told: steady_and(vec![
                Told::Lease { sent_ms: 13_500 },
                Told::Nothing { sent_ms: 13_500 },
            ]),
            now_ms: 13_600,
            may_grant: false,
        },
        Case {
            name: "another owner",
            told: steady_and(vec![Told::OtherCame { sent_ms: 10_200 }]),
            now_ms: 10_300,
            may_grant: false,
        },
        Case {
            name: "another owner between two answers",
            told: steady_and(vec![Told::OtherCameAndWent { sent_ms: 10_200 }]),
            now_ms: 10_300,
            may_grant: false,
        },
        Case {
            name: "replaced by a later run",
            told: steady_and(vec![Told::OwnReplaced { sent_ms: 10_200 }]),
            now_ms: 10_300,
            may_grant: false,
        },
    ];
    for case in cases {
        let target = target_of("other");
        let mut roster = Roster::new(own(), InstanceRun::new("run"), TIMES);
        roster.set_targets([target.clone()], Tick::ZERO);
        for (revision, told) in (1_u64..).zip(&case.told) {
            tell(&mut roster, told, revision);
        }
        let authority = roster.grant_revision(&target, Tick::from_millis(case.now_ms));
        assert_eq!(authority.is_some(), case.may_grant, "{}", case.name);
    }
}

#[test]
fn a_lower_ranked_instance_does_not_disturb_a_holder() {
    let target = target_of("own");
    let mut roster = Roster::new(own(), InstanceRun::new("run"), TIMES);
    roster.set_targets([target.clone()], Tick::ZERO);
    let told = steady_and(vec![Told::OtherCame { sent_ms: 10_200 }]);
    for (revision, told) in (1_u64..).zip(&told) {
        tell(&mut roster, told, revision);
    }
    assert!(roster.grant_revision(&target, Tick::from_millis(10_300)).is_some());
}
