//! Selects the gateway from which a gateway receives updates.
//!
//! All gateways compute the same ranking. In each zone, the gateway that ranks highest is the zone
//! leader: it forwards updates to the other gateways of its zone. The zone leader that ranks
//! highest reads the store and forwards updates to the other zone leaders. So each change is read
//! from the store once and sent to each other zone once. A gateway whose view becomes stale reads
//! the store itself, and selects another source if the store responds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::target::{GatewayCapacity, Member};
use crate::Tick;
use crate::ids::{InstanceName, ZoneName};
use crate::rendezvous;

/// Hash key for the ranking of zone leaders.
const FLEET_KEY: &str = "fleet";
/// Staleness at which a zone leader reads the store itself; longer than the longest
/// regular interval between two updates of the gateway that reads the store.
const LEADER_STALE_AFTER: Duration = Duration::from_millis(1_200);
/// Staleness at which any other gateway reads the store itself; leaves its zone leader time to
/// find another source.
const FOLLOWER_STALE_AFTER: Duration = Duration::from_millis(1_450);
/// Number of gateways of a zone that register themselves, as candidates for the others to follow.
const MAX_REGISTERED_PER_ZONE: usize = 3;
/// Longest part of the registration delay that depends on the hash of the gateway's name.
const MAX_HASH_DELAY: Duration = Duration::from_secs(3);
/// Capacity from which the registration delay does not depend on the capacity: half a core with
/// 200 Mbit/s.
const STRONG_CAPACITY: f64 = 100_000.0;
/// Additional registration delay for each factor of ten below `STRONG_CAPACITY`; with a twentieth
/// of it, a gateway waits until the strong ones are registered and visible.
const DELAY_PER_CAPACITY_DECADE: Duration = Duration::from_millis(2_400);
/// Largest number of factors of ten that are taken into account.
const MAX_CAPACITY_DECADES: f64 = 2.0;
/// Backoff before a source that failed is used again; doubled if it fails again before twice the
/// backoff has passed.
const INITIAL_SOURCE_BACKOFF: Duration = Duration::from_secs(4);
/// Longest backoff of a source.
const MAX_SOURCE_BACKOFF: Duration = Duration::from_secs(32);
/// Backoff of every source while this gateway can reach neither the store nor any source: then it
/// is more likely cut off itself, and a source may respond again at any moment.
const ISOLATED_SOURCE_BACKOFF: Duration = Duration::from_millis(500);

/// Where a gateway gets its updates from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The gateway reads the store.
    Store,
    /// Another gateway sends them.
    Peer(Member),
}

/// Selects the source of one gateway and tracks the staleness of its view.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    own: InstanceName,
    zone: ZoneName,
    /// Latest instant at which the view was known to match the store.
    fresh_at: Tick,
    stale_after: Duration,
    failures: BTreeMap<InstanceName, SourceFailure>,
    /// Whether the last call of this gateway to the store failed.
    is_store_lost: bool,
}

/// The last failure of a gateway as a source.
#[derive(Clone, Copy, Debug)]
struct SourceFailure {
    at: Tick,
    backoff: Duration,
}

impl SourceSelector {
    /// Creates the selector of the gateway `own` in `zone`.
    #[must_use]
    pub fn new(own: InstanceName, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            fresh_at: Tick::ZERO,
            stale_after: LEADER_STALE_AFTER,
            failures: BTreeMap::new(),
            is_store_lost: false,
        }
    }

    /// Selects the source among the gateways that are not in backoff.
    ///
    /// This is the leader of the gateway's own zone. If its zone has no other leader, it is the
    /// zone leader that ranks highest, or the store if that is the gateway itself or no gateway is
    /// known.
    pub fn select<'a>(&mut self, now: Tick, members: impl Iterator<Item = &'a Member>) -> Source {
        self.failures.retain(|_, failure| now.since(failure.at) < failure.backoff * 2);
        let members: Vec<&Member> = members.collect();
        let mut backoff_limit = MAX_SOURCE_BACKOFF;
        if self.is_isolated(now, &members) {
            backoff_limit = ISOLATED_SOURCE_BACKOFF;
        }
        let mut leaders: BTreeMap<&ZoneName, &Member> = BTreeMap::new();
        for member in members {
            if self.is_in_backoff(now, member, backoff_limit) {
                continue;
            }
            let leader = leaders.entry(&member.zone).or_insert(member);
            if rank(member.zone.as_str(), member) > rank(member.zone.as_str(), leader) {
                *leader = member;
            }
        }
        let own_leader = leaders.get(&self.zone).filter(|leader| leader.name != self.own);
        self.stale_after =
            if own_leader.is_some() { FOLLOWER_STALE_AFTER } else { LEADER_STALE_AFTER };
        let leader = own_leader
            .copied()
            .or_else(|| leaders.values().copied().max_by_key(|member| rank(FLEET_KEY, member)));
        match leader {
            Some(member) if member.name != self.own => Source::Peer(member.clone()),
            _ => Source::Store,
        }
    }

    /// Returns whether the gateway `own` should register itself, because few registered gateways
    /// of its zone rank higher.
    #[must_use]
    pub fn should_register<'a>(own: &Member, members: impl Iterator<Item = &'a Member>) -> bool {
        let key = own.zone.as_str();
        let higher = members
            .filter(|member| member.zone == own.zone && member.name != own.name)
            .filter(|member| rank(key, member) > rank(key, own));
        higher.count() < MAX_REGISTERED_PER_ZONE
    }

    /// Returns whether neither the store nor any other gateway responds to this one.
    fn is_isolated(&self, now: Tick, members: &[&Member]) -> bool {
        let mut others = members.iter().filter(|member| member.name != self.own);
        self.is_store_lost && others.all(|member| self.is_in_backoff(now, member, Duration::MAX))
    }

    /// Returns whether a source failed less than its backoff, or `limit`, ago.
    fn is_in_backoff(&self, now: Tick, member: &Member, limit: Duration) -> bool {
        let failure = self.failures.get(&member.name);
        failure.is_some_and(|failure| now.since(failure.at) < failure.backoff.min(limit))
    }

    /// Records that a call to the store failed.
    pub fn note_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store responded to a call.
    ///
    /// Sources that failed while the store did not respond either may be selected again: the cause
    /// was probably that this gateway was cut off.
    pub fn note_store_responded(&mut self) {
        if std::mem::take(&mut self.is_store_lost) {
            self.failures.clear();
        }
    }

    /// Returns how long the gateway `own` waits before it registers itself: the shorter, the higher
    /// it is likely to rank in its zone, so that those that rank higher are registered before it
    /// asks whether it is needed.
    #[must_use]
    pub fn registration_delay(own: &Member) -> Duration {
        let weight = rendezvous::weight(own.zone.as_str(), own.name.as_str());
        let by_hash = MAX_HASH_DELAY.mul_f64(1.0 - weight as f64 / u64::MAX as f64);
        let capacity = own.capacity.get().max(1) as f64;
        let decades_below = (STRONG_CAPACITY / capacity).log10().clamp(0.0, MAX_CAPACITY_DECADES);
        by_hash + DELAY_PER_CAPACITY_DECADE.mul_f64(decades_below)
    }

    /// Records that the view at `now` matches the store as it was `age` ago.
    pub fn note_fresh(&mut self, now: Tick, age: Duration) {
        self.fresh_at = self.fresh_at.max(now.before(age));
        if now < self.stale_at() {
            self.note_store_responded();
        }
    }

    /// Returns the latest instant at which the view was known to match the store.
    #[must_use]
    pub fn fresh_at(&self) -> Tick {
        self.fresh_at
    }

    /// Records that a source could not be reached, or sent nothing fresh while the store
    /// responds.
    pub fn note_source_failed(&mut self, now: Tick, peer: &InstanceName) {
        let known = self.failures.get(peer);
        let backoff = known.map_or(INITIAL_SOURCE_BACKOFF, |failure| {
            (failure.backoff * 2).min(MAX_SOURCE_BACKOFF)
        });
        self.failures.insert(peer.clone(), SourceFailure { at: now, backoff });
    }

    /// Returns the time since the view was last known to match the store.
    #[must_use]
    pub fn staleness(&self, now: Tick) -> Duration {
        now.since(self.fresh_at)
    }

    /// Returns the instant at which the view becomes so stale that this gateway reads the store
    /// itself.
    #[must_use]
    pub fn stale_at(&self) -> Tick {
        self.fresh_at + self.stale_after
    }
}

/// Returns the rank of a gateway: by capacity, then by a hash with `key`. The highest rank leads.
fn rank<'a>(key: &str, member: &'a Member) -> (GatewayCapacity, u64, &'a InstanceName) {
    (member.capacity, rendezvous::weight(key, member.name.as_str()), &member.name)
}
