//! Who reads the store for whom.
//!
//! The gateways of a zone rank each other alike. The first reads the store and hands changes to
//! the others; a gateway that hears nothing fresh from those before it reads the store itself.

use std::time::Duration;

use super::target::Member;
use crate::Tick;
use crate::ids::{InstanceName, ZoneName};
use crate::rendezvous;

/// Age of the view at which a gateway reads the store itself.
const STALE_AFTER: Duration = Duration::from_millis(700);
/// Pause before a gateway that failed as a source is asked again.
const RETRY_SOURCE: Duration = Duration::from_secs(2);

/// Where a gateway gets its changes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// It reads the store.
    Store,
    /// Another gateway of its zone tells it.
    Peer(Member),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// Nothing: changes arrive.
    Keep,
    /// Read the store now, because no peer tells anything fresh.
    ReadStore,
}

/// Choice of the source of one gateway.
#[derive(Clone, Debug)]
pub struct Feed {
    own: InstanceName,
    zone: ZoneName,
    fresh_at: Tick,
    failed: Vec<(InstanceName, Tick)>,
}

impl Feed {
    /// Makes the choice for the gateway `own` in `zone`.
    #[must_use]
    pub fn new(own: InstanceName, zone: ZoneName) -> Self {
        Self { own, zone, fresh_at: Tick::ZERO, failed: Vec::new() }
    }

    /// Returns the source to use: the first gateway of the zone that did not fail lately.
    pub fn source<'a>(&mut self, now: Tick, members: impl Iterator<Item = &'a Member>) -> Source {
        self.failed.retain(|(_, at)| now.since(*at) < RETRY_SOURCE);
        let failed = |name: &InstanceName| self.failed.iter().any(|(found, _)| found == name);
        let key = self.zone.as_str();
        let first = members
            .filter(|member| member.zone == self.zone && !failed(&member.name))
            .max_by_key(|member| rendezvous::weight(key, member.name.as_str()));
        match first {
            Some(member) if member.name != self.own => Source::Peer(member.clone()),
            _ => Source::Store,
        }
    }

    /// Notes that the view was known to be `age` old at `now`.
    pub fn note_fresh(&mut self, now: Tick, age: Duration) {
        self.fresh_at = self.fresh_at.max(now.before(age));
    }

    /// Notes that a peer could not be reached or told nothing fresh.
    pub fn note_failed(&mut self, now: Tick, peer: &InstanceName) {
        self.failed.push((peer.clone(), now));
    }

    /// Returns the age of the view.
    #[must_use]
    pub fn age(&self, now: Tick) -> Duration {
        now.since(self.fresh_at)
    }

    /// Returns whether a gateway that is told by a peer must read the store itself.
    #[must_use]
    pub fn action(&self, now: Tick) -> FeedAction {
        if self.age(now) > STALE_AFTER { FeedAction::ReadStore } else { FeedAction::Keep }
    }
}
