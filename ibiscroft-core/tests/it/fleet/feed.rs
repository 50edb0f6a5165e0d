//! Who reads the store for whom.

use std::collections::BTreeSet;
use std::time::Duration;

use ibiscroft_core::fleet::{Feed, Member, Source};

use super::world::member;
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

fn feed(member: &Member) -> Feed {
    Feed::new(member.name.clone(), member.zone.clone())
}

/// Follows the sources from a gateway to the one that reads the store.
fn path(from: &Member, members: &[Member]) -> Vec<Member> {
    let mut path = vec![from.clone()];
    loop {
        let last = &path[path.len() - 1];
        match feed(last).source(at(0), members.iter()) {
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
            assert!(source.strength.get() > 1, "{source:?} is not among the strong ones");
        }
    }
    assert_eq!(readers.len(), 1);
    assert_eq!(crossings.len(), 2);
}

#[test]
fn a_gateway_that_failed_is_asked_again_after_longer_and_longer_pauses() {
    let members = fleet();
    let mut feed = feed(&members[4]);
    let first = feed.source(at(0), members.iter());
    let Source::Peer(peer) = &first else {
        panic!("{first:?}");
    };
    let mut now = at(0);
    for pause in [4, 8, 16, 32, 32] {
        feed.note_failed(now, &peer.name);
        let end = now + Duration::from_secs(pause);
        let before = end.before(Duration::from_millis(1));
        assert_ne!(feed.source(before, members.iter()), first, "{pause} s");
        assert_eq!(feed.source(end, members.iter()), first, "{pause} s");
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
        assert_eq!(feed.source(at(0), case.members.iter()), Source::Store, "{}", case.name);
    }
}

#[test]
fn a_view_is_stale_within_the_time_for_leaving_targets() {
    let members = fleet();
    for own in &members {
        let mut feed = feed(own);
        feed.source(at(0), members.iter());
        feed.note_fresh(at(10_000), Duration::from_millis(100));
        let stale = feed.stale_at().since(at(9_900));
        let bounds = Duration::from_millis(1_000)..Duration::from_millis(1_600);
        assert!(bounds.contains(&stale), "{}: {stale:?}", own.name);
        feed.note_fresh(at(10_100), Duration::from_secs(5));
        assert_eq!(feed.age(at(10_100)), Duration::from_millis(200), "an older word is no news");
    }
}

#[test]
fn few_gateways_of_a_zone_register_themselves() {
    let members = fleet();
    let wanted: Vec<&Member> =
        members.iter().filter(|own| Feed::should_register(own, members.iter())).collect();
    assert_eq!(wanted.len(), 9, "{wanted:?}");
    let strong = members.iter().filter(|member| member.strength.get() > 1);
    assert!(strong.clone().all(|member| wanted.contains(&member)), "{wanted:?}");
    let stronger = member("new", "a", 9);
    assert!(Feed::should_register(&stronger, members.iter()));
}
