//! Who reads the store for whom.

use std::collections::BTreeSet;
use std::time::Duration;

use ibiscroft_core::fleet::{
    Change, Member, Relay, Revision, Source, SourceSelector, Target, Update, UpdateHistory, View,
};
use ibiscroft_core::ids::{Generation, TargetName};

use super::world::{configuration, delta, full, member, target};
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

fn feed(member: &Member) -> SourceSelector {
    SourceSelector::new(member.name.clone(), member.zone.clone())
}

/// Follows the sources from a gateway to the one that reads the store.
fn path(from: &Member, members: &[Member]) -> Vec<Member> {
    let mut path = vec![from.clone()];
    loop {
        let last = &path[path.len() - 1];
        match feed(last).select(at(0), members.iter()) {
            Source::Store => return path,
            Source::Peer(next) => path.push(next),
        }
        assert!(path.len() < 10, "a loop: {path:?}");
    }
}

#[test]
fn one_gateway_reads_and_each_zone_is_told_once() {
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
            assert!(source.capacity.get() > 1, "{source:?} is not among the strong ones");
        }
    }
    assert_eq!(readers.len(), 1);
    assert_eq!(crossings.len(), 2);
}

#[test]
fn a_gateway_that_failed_is_asked_again_after_longer_and_longer_pauses() {
    let members = fleet();
    let mut feed = feed(&members[4]);
    let first = feed.select(at(0), members.iter());
    let Source::Peer(peer) = &first else {
        panic!("{first:?}");
    };
    let mut now = at(0);
    for pause in [4, 8, 16, 32, 32] {
        feed.note_source_failed(now, &peer.name);
        let end = now + Duration::from_secs(pause);
        let before = end.before(Duration::from_millis(1));
        assert_ne!(feed.select(before, members.iter()), first, "{pause} s");
        assert_eq!(feed.select(end, members.iter()), first, "{pause} s");
        now = end;
    }
}

#[test]
fn without_others_a_gateway_reads_the_store() {
    struct Case {
        name: &'static str,
        members: Vec<Member>,
    }
    let cases = [
        Case { name: "nobody known", members: vec![] },
        Case { name: "only itself", members: vec![member("a0", "a", 1)] },
    ];
    for case in cases {
        let mut feed = feed(&member("a0", "a", 1));
        assert_eq!(feed.select(at(0), case.members.iter()), Source::Store, "{}", case.name);
    }
}

#[test]
fn a_view_is_stale_within_the_time_for_leaving_targets() {
    let members = fleet();
    for own in &members {
        let mut feed = feed(own);
        feed.select(at(0), members.iter());
        feed.note_fresh(at(10_000), Duration::from_millis(100));
        let stale = feed.stale_at().since(at(9_900));
        let bounds = Duration::from_millis(1_000)..Duration::from_millis(1_600);
        assert!(bounds.contains(&stale), "{}: {stale:?}", own.name);
        feed.note_fresh(at(10_100), Duration::from_secs(5));
        assert_eq!(
            feed.staleness(at(10_100)),
            Duration::from_millis(200),
            "an older word is no news"
        );
    }
}

#[test]
fn few_gateways_of_a_zone_register_themselves() {
    let members = fleet();
    let wanted: Vec<&Member> =
        members.iter().filter(|own| SourceSelector::should_register(own, members.iter())).collect();
    assert_eq!(wanted.len(), 9, "{wanted:?}");
    let strong = members.iter().filter(|member| member.capacity.get() > 1);
    assert!(strong.clone().all(|member| wanted.contains(&member)), "{wanted:?}");
    let stronger = member("new", "a", 9);
    assert!(SourceSelector::should_register(&stronger, members.iter()));
}

#[test]
fn a_follower_gets_each_change_it_lacks_or_everything() {
    struct Case {
        name: &'static str,
        begins: Option<u64>,
        pushed: std::ops::RangeInclusive<u64>,
        follower: u64,
        messages: Option<usize>,
    }
    let none = std::ops::RangeInclusive::new(1, 0);
    let cases = [
        Case {
            name: "nothing known",
            begins: None,
            pushed: none.clone(),
            follower: 9,
            messages: None,
        },
        Case {
            name: "only what may be old is known: a follower that knows more still lacks changes",
            begins: None,
            pushed: none.clone(),
            follower: 99,
            messages: None,
        },
        Case {
            name: "behind",
            begins: Some(101),
            pushed: none.clone(),
            follower: 99,
            messages: None,
        },
        Case { name: "level", begins: Some(101), pushed: none, follower: 101, messages: Some(0) },
        Case {
            name: "some missed",
            begins: Some(10),
            pushed: 11..=20,
            follower: 15,
            messages: Some(5),
        },
        Case {
            name: "before the beginning",
            begins: Some(10),
            pushed: 11..=20,
            follower: 9,
            messages: None,
        },
        Case {
            name: "before what is kept",
            begins: Some(0),
            pushed: 1..=100,
            follower: 35,
            messages: None,
        },
        Case {
            name: "all that is kept",
            begins: Some(0),
            pushed: 1..=100,
            follower: 36,
            messages: Some(64),
        },
    ];
    for case in cases {
        let mut history = UpdateHistory::default();
        if let Some(begins) = case.begins {
            history.reset(Revision(begins));
        }
        for revision in case.pushed {
            history.push(Revision(revision), revision);
        }
        let found = history.updates_after(Revision(case.follower)).map(|messages| messages.len());
        assert_eq!(found, case.messages, "{}", case.name);
    }
}

#[test]
fn an_update_beyond_a_gap_is_told_apart() {
    let mut view = View::default();
    view.apply(at(0), full(99, vec![]));
    let update = |since, is_full| Update { since: Revision(since), is_full, ..full(101, vec![]) };
    for (since, is_full, meets) in
        [(99, false, true), (90, false, true), (100, false, false), (100, true, true)]
    {
        assert_eq!(
            view.is_contiguous_with(&update(since, is_full)),
            meets,
            "since {since}, full {is_full}"
        );
    }
}

/// A gateway that reads an old listing before it follows another.
#[test]
fn a_change_known_too_early_still_reaches_followers() {
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
        let made = view.apply(at(1), update.clone());
        let changes = relay.changes_to_forward(&update, &made);
        if update.is_full {
            history.reset(update.revision);
        } else {
            history.push(update.revision, Update { changes, ..update });
        }
    }
    let mut follower = View::default();
    follower.apply(at(0), full(100, vec![config(8), entry(6)]));
    for update in history.updates_after(Revision(100)).unwrap() {
        follower.apply(at(2), update);
    }
    assert_eq!(follower.configuration_version(), Generation(10));
    let known = follower.targets().next().unwrap();
    assert_eq!(known.sequence, 7);
}

#[test]
fn later_updates_leave_out_what_makes_no_difference() {
    let mut view = View::default();
    let mut relay = Relay::default();
    let entry = |sequence| Change::Target(Target { sequence, ..target("t1", "a") });
    let updates = [
        (full(1, vec![entry(1)]), 1),
        (delta(2, vec![entry(2)]), 1),
        (delta(3, vec![entry(3)]), 0),
        (delta(4, vec![Change::TargetGone(TargetName::new("t1"))]), 1),
    ];
    for (update, told) in updates {
        let made = view.apply(at(0), update.clone());
        assert_eq!(
            relay.changes_to_forward(&update, &made).len(),
            told,
            "revision {}",
            update.revision
        );
    }
}
