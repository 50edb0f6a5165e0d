//! Who reads the store for whom.
//!
//! The gateways rank each other alike. In each zone the first tells the others what changed; the
//! first of these firsts reads the store and tells them. So a change is read once and crosses to
//! each zone once. A gateway that hears nothing fresh reads the store itself, and looks for
//! another source if the store answers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::target::{GatewayCapacity, Member};
use crate::Tick;
use crate::ids::{InstanceName, ZoneName};
use crate::rendezvous;

/// Key by which the first gateways of the zones are ranked.
const FLEET: &str = "fleet";
/// Age of the view at which the first gateway of a zone reads the store itself; above the
/// longest regular silence of a reader, see the timing of its calls.
const FIRST_STALE: Duration = Duration::from_millis(1_200);
/// The same for the others, so that they give their first time to find another source.
const OTHERS_STALE: Duration = Duration::from_millis(1_450);
/// Gateways of a zone that register themselves, for the others to follow.
const SOURCES: usize = 3;
/// Pause before a gateway that failed as a source is asked again; doubled at each failure.
const RETRY_SOURCE: Duration = Duration::from_secs(4);
/// Longest such pause.
const LONGEST_RETRY: Duration = Duration::from_secs(32);

/// Where a gateway gets its changes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// It reads the store.
    Store,
    /// Another gateway tells it.
    Peer(Member),
}

/// Choice of the source of one gateway.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    own: InstanceName,
    zone: ZoneName,
    fresh_at: Tick,
    stale_after: Duration,
    failed: BTreeMap<InstanceName, Failed>,
}

/// A gateway that failed as a source.
#[derive(Clone, Copy, Debug)]
struct Failed {
    at: Tick,
    pause: Duration,
}

impl SourceSelector {
    /// Makes the choice for the gateway `own` in `zone`.
    #[must_use]
    pub fn new(own: InstanceName, zone: ZoneName) -> Self {
        Self { own, zone, fresh_at: Tick::ZERO, stale_after: FIRST_STALE, failed: BTreeMap::new() }
    }

    /// Returns the source to use among the gateways that did not fail lately.
    pub fn select<'a>(&mut self, now: Tick, members: impl Iterator<Item = &'a Member>) -> Source {
        self.failed.retain(|_, failed| now.since(failed.at) < failed.pause * 2);
        let mut firsts: BTreeMap<&ZoneName, &Member> = BTreeMap::new();
        for member in members {
            let failed = self.failed.get(&member.name);
            if failed.is_some_and(|failed| now.since(failed.at) < failed.pause) {
                continue;
            }
            let first = firsts.entry(&member.zone).or_insert(member);
            if rank(member.zone.as_str(), member) > rank(member.zone.as_str(), first) {
                *first = member;
            }
        }
        let own_first = firsts.get(&self.zone).filter(|first| first.name != self.own);
        self.stale_after = if own_first.is_some() { OTHERS_STALE } else { FIRST_STALE };
        let first = own_first
            .copied()
            .or_else(|| firsts.values().copied().max_by_key(|member| rank(FLEET, member)));
        match first {
            Some(member) if member.name != self.own => Source::Peer(member.clone()),
            _ => Source::Store,
        }
    }

    /// Returns whether the gateway is to register itself: few of its zone rank before it.
    #[must_use]
    pub fn should_register<'a>(own: &Member, members: impl Iterator<Item = &'a Member>) -> bool {
        let key = own.zone.as_str();
        let before = members
            .filter(|member| member.zone == own.zone && member.name != own.name)
            .filter(|member| rank(key, member) > rank(key, own));
        before.count() < SOURCES
    }

    /// Notes that the view is known to be `age` old at `now`.
    pub fn note_fresh(&mut self, now: Tick, age: Duration) {
        self.fresh_at = self.fresh_at.max(now.before(age));
    }

    /// Notes that a peer could not be reached, or told nothing fresh while the store answers.
    pub fn note_source_failed(&mut self, now: Tick, peer: &InstanceName) {
        let known = self.failed.get(peer);
        let pause = known.map_or(RETRY_SOURCE, |failed| (failed.pause * 2).min(LONGEST_RETRY));
        self.failed.insert(peer.clone(), Failed { at: now, pause });
    }

    /// Returns the age of the view.
    #[must_use]
    pub fn staleness(&self, now: Tick) -> Duration {
        now.since(self.fresh_at)
    }

    /// Returns when the view will be so old that this gateway reads the store itself.
    #[must_use]
    pub fn stale_at(&self) -> Tick {
        self.fresh_at + self.stale_after
    }
}

/// Returns the rank of a gateway; the highest is the first.
fn rank<'a>(key: &str, member: &'a Member) -> (GatewayCapacity, u64, &'a InstanceName) {
    (member.capacity, rendezvous::weight(key, member.name.as_str()), &member.name)
}
