//! Tests of `roster`.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, StoreVersion, TargetName};
use ibiscroft_core::roster::{
    Change, InstanceRun, LeaseId, Member, Roster, RosterTimings, RosterUpdate,
};

const TIMINGS: RosterTimings = RosterTimings {
    lease_ttl: Duration::from_millis(5_000),
    lease_margin: Duration::from_millis(500),
    renew_interval: Duration::from_millis(1_000),
    view_validity: Duration::from_millis(3_000),
    takeover_delay: Duration::from_millis(9_000),
};

/// A response of the store, with the time in milliseconds at which the call was sent.
enum StoreResponse {
    /// The lease was renewed.
    LeaseRenewed { sent_ms: u64 },
    /// This instance is registered.
    OwnAdded { sent_ms: u64 },
    /// Nothing changed.
    Unchanged { sent_ms: u64 },
    /// The other instance is registered.
    OtherAdded { sent_ms: u64 },
    /// The other instance is not registered, but was since the last response.
    OtherAddedAndRemoved { sent_ms: u64 },
    /// This instance is registered by a later run.
    OwnReplaced { sent_ms: u64 },
}

struct Case {
    name: &'static str,
    responses: Vec<StoreResponse>,
    now_ms: u64,
    may_grant: bool,
}

fn own() -> InstanceName {
    InstanceName::new("own")
}

/// Returns a target that the instance `owner` owns while both instances are registered.
fn target_owned_by(owner: &str) -> TargetName {
    let name = (0..100)
        .map(|index| format!("target-{index}"))
        .find(|name| ibiscroft_core::rendezvous::owner(name, ["own", "other"]) == Some(owner));
    TargetName::new(name.expect("one of 100 targets has this owner"))
}

fn member(run: &str, version: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member { run: InstanceRun::new(run), address, version: StoreVersion(version) }
}

fn changed(name: &str, member: Option<Member>) -> Vec<Change> {
    vec![Change { name: InstanceName::new(name), member }]
}

fn handle_response(roster: &mut Roster, response: &StoreResponse, revision: u64) {
    let (sent_ms, changes) = match *response {
        StoreResponse::LeaseRenewed { sent_ms } => {
            let sent_at = Tick::from_millis(sent_ms);
            roster.lease_mut().on_confirmed(LeaseId(1), sent_at, TIMINGS.lease_ttl);
            return;
        }
        StoreResponse::OwnAdded { sent_ms } => {
            (sent_ms, changed("own", Some(member("run", revision))))
        }
        StoreResponse::Unchanged { sent_ms } => (sent_ms, Vec::new()),
        StoreResponse::OtherAdded { sent_ms } => {
            (sent_ms, changed("other", Some(member("o", revision))))
        }
        StoreResponse::OtherAddedAndRemoved { sent_ms } => (sent_ms, changed("other", None)),
        StoreResponse::OwnReplaced { sent_ms } => {
            (sent_ms, changed("own", Some(member("new", revision))))
        }
    };
    let update = RosterUpdate {
        sent_at: Tick::from_millis(sent_ms),
        revision: StoreVersion(revision),
        is_full: false,
        changes,
    };
    roster.on_update(&update, Tick::from_millis(sent_ms));
}

/// Returns the responses to an instance that is registered at 1 s; nothing else changes until 10 s.
fn steady_responses() -> Vec<StoreResponse> {
    let mut responses = vec![
        StoreResponse::LeaseRenewed { sent_ms: 900 },
        StoreResponse::OwnAdded { sent_ms: 1_000 },
    ];
    for second in 2..=10 {
        responses.push(StoreResponse::Unchanged { sent_ms: second * 1_000 });
        responses.push(StoreResponse::LeaseRenewed { sent_ms: second * 1_000 });
    }
    responses
}

fn steady_responses_and(more: Vec<StoreResponse>) -> Vec<StoreResponse> {
    steady_responses().into_iter().chain(more).collect()
}

#[test]
fn holder_may_grant_only_while_it_is_certain_to_be_the_only_one() {
    let cases = [
        Case {
            name: "registered and owner for the takeover delay",
            responses: steady_responses(),
            now_ms: 10_100,
            may_grant: true,
        },
        Case {
            name: "before the end of the takeover delay",
            responses: steady_responses(),
            now_ms: 9_999,
            may_grant: false,
        },
        Case {
            name: "view expired",
            responses: steady_responses(),
            now_ms: 13_000,
            may_grant: false,
        },
        Case {
            name: "view confirmed, lease expired",
            responses: steady_responses_and(vec![
                StoreResponse::Unchanged { sent_ms: 12_500 },
                StoreResponse::Unchanged { sent_ms: 14_500 },
            ]),
            now_ms: 14_600,
            may_grant: false,
        },
        Case {
            name: "view expired and was confirmed again",
            responses: steady_responses_and(vec![
                StoreResponse::LeaseRenewed { sent_ms: 13_500 },
                StoreResponse::Unchanged { sent_ms: 13_500 },
            ]),
            now_ms: 13_600,
            may_grant: false,
        },
        Case {
            name: "another instance became the owner",
            responses: steady_responses_and(vec![StoreResponse::OtherAdded { sent_ms: 10_200 }]),
            now_ms: 10_300,
            may_grant: false,
        },
        Case {
            name: "another instance was the owner between two responses",
            responses: steady_responses_and(vec![StoreResponse::OtherAddedAndRemoved {
                sent_ms: 10_200,
            }]),
            now_ms: 10_300,
            may_grant: false,
        },
        Case {
            name: "replaced by a later run of the same instance",
            responses: steady_responses_and(vec![StoreResponse::OwnReplaced { sent_ms: 10_200 }]),
            now_ms: 10_300,
            may_grant: false,
        },
    ];
    for case in cases {
        let target = target_owned_by("other");
        let mut roster = Roster::new(own(), InstanceRun::new("run"), TIMINGS);
        roster.set_targets([target.clone()], Tick::ZERO);
        for (revision, response) in (1_u64..).zip(&case.responses) {
            handle_response(&mut roster, response, revision);
        }
        let grant_revision = roster.grant_revision(&target, Tick::from_millis(case.now_ms));
        assert_eq!(grant_revision.is_some(), case.may_grant, "{}", case.name);
    }
}

#[test]
fn holder_may_grant_after_a_lower_ranked_instance_registers() {
    let target = target_owned_by("own");
    let mut roster = Roster::new(own(), InstanceRun::new("run"), TIMINGS);
    roster.set_targets([target.clone()], Tick::ZERO);
    let responses = steady_responses_and(vec![StoreResponse::OtherAdded { sent_ms: 10_200 }]);
    for (revision, response) in (1_u64..).zip(&responses) {
        handle_response(&mut roster, response, revision);
    }
    assert!(roster.grant_revision(&target, Tick::from_millis(10_300)).is_some());
}
