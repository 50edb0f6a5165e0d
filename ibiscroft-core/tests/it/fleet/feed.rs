//! Sources of updates, and the updates that gateways forward to their followers.

use std::collections::BTreeSet;
use std::time::Duration;

use ibiscroft_core::fleet::{
    Change, Member, Relay, Revision, Source, SourceSelector, Target, Update, UpdateHistory, View,
};
use ibiscroft_core::ids::{Generation, TargetName};

use super::world::{configuration, delta, full, member, position, target};
use crate::support::at;

fn fleet() -> Vec<Member> {
    let mut members = Vec::new();
    for zone in ["a", "b", "c"] {
        for index in 0..5 {
            members.push(member(&format!("{zone}{index}"), zone, u64::from(index < 2) + 1));
        }
    }
    members
}

fn selector(member: &Member) -> SourceSelector {
    SourceSelector::new(member.name.clone(), member.zone.clone())
}

/// Returns the gateways from `from` along its sources to the gateway that reads the store.
fn path(from: &Member, members: &[Member]) -> Vec<Member> {
    let mut path = vec![from.clone()];
    loop {
        let last = &path[path.len() - 1];
        match selector(last).select(at(0), members.iter()) {
            Source::Store => return path,
            Source::Peer(next) => path.push(next),
        }
        assert!(path.len() < 10, "a loop: {path:?}");
    }
}

#[test]
fn one_gateway_reads_the_store_and_updates_enter_each_zone_once() {
    let members = fleet();
    let mut readers = BTreeSet::new();
    let mut crossings = BTreeSet::new();
    for from in &members {
        let path = path(from, &members);
        assert!(path.len() <= 3, "{path:?}");
        readers.insert(path[path.len() - 1].name.clone());
        for pair in path.windows(2) {
            if pair[0].zone != pair[1].zone {
                crossings.insert((pair[0].name.clone(), pair[1].name.clone()));
            }
        }
        for source in &path[1..] {
            assert!(source.capacity.get() > 1, "{source:?} has a low capacity");
        }
    }
    assert_eq!(readers.len(), 1);
    assert_eq!(crossings.len(), 2);
}

#[test]
fn failed_source_is_selected_again_after_exponential_backoff() {
    let members = fleet();
    let mut selector = selector(&members[4]);
    let first = selector.select(at(0), members.iter());
    let Source::Peer(peer) = &first else {
        panic!("{first:?}");
    };
    let mut now = at(0);
    for backoff in [4, 8, 16, 32, 32] {
        selector.note_source_failed(now, &peer.name);
        let end = now + Duration::from_secs(backoff);
        let before = end.before(Duration::from_millis(1));
        assert_ne!(selector.select(before, members.iter()), first, "{backoff} s");
        assert_eq!(selector.select(end, members.iter()), first, "{backoff} s");
        now = end;
    }
}

#[test]
fn gateway_without_peers_reads_the_store() {
    struct Case {
        name: &'static str,
        members: Vec<Member>,
    }
    let cases = [
        Case { name: "no gateway known", members: vec![] },
        Case { name: "only the gateway itself", members: vec![member("a0", "a", 1)] },
    ];
    for case in cases {
        let mut selector = selector(&member("a0", "a", 1));
        assert_eq!(selector.select(at(0), case.members.iter()), Source::Store, "{}", case.name);
    }
}

#[test]
fn view_becomes_stale_within_the_notice_period_of_leaving_targets() {
    let members = fleet();
    for own in &members {
        let mut selector = selector(own);
        selector.select(at(0), members.iter());
        selector.note_fresh(at(10_000), Duration::from_millis(100));
        let stale = selector.stale_at().since(at(9_900));
        let bounds = Duration::from_millis(1_000)..Duration::from_millis(1_600);
        assert!(bounds.contains(&stale), "{}: {stale:?}", own.name);
        selector.note_fresh(at(10_100), Duration::from_secs(5));
        assert_eq!(
            selector.staleness(at(10_100)),
            Duration::from_millis(200),
            "an older update does not make the view fresh"
        );
    }
}

#[test]
fn three_gateways_per_zone_register_themselves() {
    let members = fleet();
    let registered: Vec<&Member> =
        members.iter().filter(|own| SourceSelector::should_register(own, members.iter())).collect();
    assert_eq!(registered.len(), 9, "{registered:?}");
    let high_capacity = members.iter().filter(|member| member.capacity.get() > 1);
    assert!(high_capacity.clone().all(|member| registered.contains(&member)), "{registered:?}");
    let highest_capacity = member("new", "a", 9);
    assert!(SourceSelector::should_register(&highest_capacity, members.iter()));
}

#[test]
fn update_history_returns_all_missed_updates_or_none() {
    struct Case {
        name: &'static str,
        start: Option<u64>,
        pushed: std::ops::RangeInclusive<u64>,
        follower: u64,
        messages: Option<usize>,
    }
    let none = std::ops::RangeInclusive::new(1, 0);
    let cases = [
        Case {
            name: "no revision known",
            start: None,
            pushed: none.clone(),
            follower: 9,
            messages: None,
        },
        Case {
            name: "only a listing without a revision: even a follower ahead of it lacks changes",
            start: None,
            pushed: none.clone(),
            follower: 99,
            messages: None,
        },
        Case {
            name: "follower behind the start, no updates",
            start: Some(101),
            pushed: none.clone(),
            follower: 99,
            messages: None,
        },
        Case {
            name: "follower at the start, no updates",
            start: Some(101),
            pushed: none,
            follower: 101,
            messages: Some(0),
        },
        Case {
            name: "follower missed some updates",
            start: Some(10),
            pushed: 11..=20,
            follower: 15,
            messages: Some(5),
        },
        Case {
            name: "follower before the start",
            start: Some(10),
            pushed: 11..=20,
            follower: 9,
            messages: None,
        },
        Case {
            name: "follower before the oldest update kept",
            start: Some(0),
            pushed: 1..=100,
            follower: 35,
            messages: None,
        },
        Case {
            name: "follower missed all updates kept",
            start: Some(0),
            pushed: 1..=100,
            follower: 36,
            messages: Some(64),
        },
    ];
    for case in cases {
        let mut history = UpdateHistory::default();
        if let Some(start) = case.start {
            history.reset(position(0, start));
        }
        for revision in case.pushed {
            history.push(position(0, revision), revision);
        }
        let missed =
            history.updates_after(position(0, case.follower)).map(|messages| messages.len());
        assert_eq!(missed, case.messages, "{}", case.name);
    }
}

#[test]
fn update_after_a_gap_is_not_contiguous() {
    let mut view = View::default();
    view.apply(at(0), full(99, vec![]));
    let update = |since, is_full| Update { since: Revision(since), is_full, ..full(101, vec![]) };
    for (since, is_full, is_contiguous) in
        [(99, false, true), (90, false, true), (100, false, false), (100, true, true)]
    {
        assert_eq!(
            view.is_contiguous_with(&update(since, is_full)),
            is_contiguous,
            "since {since}, full {is_full}"
        );
    }
}

/// Guards against followers that miss what was changed and changed back while their source lists the
/// store: such an update applies to the state before the listing alone.
#[test]
fn difference_applies_only_to_the_state_that_it_was_found_from() {
    struct Case {
        name: &'static str,
        revision: u64,
        is_contiguous: bool,
    }
    let cases = [
        Case { name: "behind", revision: 39, is_contiguous: false },
        Case { name: "at the state before", revision: 40, is_contiguous: true },
        Case { name: "ahead of it", revision: 45, is_contiguous: false },
        Case { name: "at the state after", revision: 50, is_contiguous: true },
        Case { name: "ahead of both", revision: 60, is_contiguous: true },
    ];
    for case in cases {
        let mut view = View::default();
        view.apply(at(0), full(case.revision, vec![]));
        let update = Update { since: Revision(40), is_difference: true, ..delta(50, vec![]) };
        assert_eq!(view.is_contiguous_with(&update), case.is_contiguous, "{}", case.name);
        assert_eq!(view.accepts(&update), case.revision <= 50, "{}", case.name);
    }
}

/// A gateway that read an outdated listing may already know the entries of a later change. The
/// change has no effect on its own view, but its followers lack the entries.
#[test]
fn change_known_from_a_listing_is_still_forwarded() {
    let config = |version| Change::Configuration(Box::new(configuration(version, vec![])));
    let entry = |sequence| Change::Target(Target { sequence, ..target("t1", "a") });
    let listing = Update { since: Revision(0), ..full(0, vec![config(10), entry(7)]) };
    let upstream = [
        full(99, vec![config(8), entry(6)]),
        Update { since: Revision(99), ..delta(102, vec![config(10), entry(7)]) },
    ];
    let mut view = View::default();
    let mut relay = Relay::default();
    let mut history = UpdateHistory::default();
    view.apply(at(0), listing);
    for update in upstream {
        let applied = view.apply(at(1), update.clone());
        let changes = relay.changes_to_forward(&view, &update, &applied);
        if update.is_full {
            history.reset(update.position());
        } else {
            history.push(update.position(), Update { changes, ..update });
        }
    }
    let mut follower = View::default();
    follower.apply(at(0), full(100, vec![config(8), entry(6)]));
    for update in history.updates_after(position(0, 100)).unwrap() {
        follower.apply(at(2), update);
    }
    assert_eq!(follower.configuration_version(), Generation(10));
    let known = follower.targets().next().unwrap();
    assert_eq!(known.sequence, 7);
}

#[test]
fn changes_without_effect_are_not_forwarded() {
    let mut view = View::default();
    let mut relay = Relay::default();
    let entry = |sequence| Change::Target(Target { sequence, ..target("t1", "a") });
    let updates = [
        (full(1, vec![entry(1)]), 1),
        (delta(2, vec![entry(2)]), 1),
        (delta(3, vec![entry(3)]), 0),
        (delta(4, vec![Change::TargetGone(TargetName::new("t1"))]), 1),
    ];
    for (update, forwarded) in updates {
        let applied = view.apply(at(0), update.clone());
        assert_eq!(
            relay.changes_to_forward(&view, &update, &applied).len(),
            forwarded,
            "revision {}",
            update.revision
        );
    }
}
