//! The lease of one's own instance, judged on the local monotonic clock.

use std::time::Duration;

use super::RosterTimings;
use crate::{Tick, data, number_newtype};

number_newtype!(
    /// Identifier the store gave to a lease.
    LeaseId(u64)
);

data! {
    /// What the store has to be asked for.
    pub enum LeaseAction {
        /// Ask for a new lease.
        Create,
        /// Renew the lease.
        Renew(LeaseId),
    }
}

/// The lease of one instance.
///
/// The store counts the time to live from the moment it handles a renewal, which is never before
/// the renewal was sent. So the lease is certain to exist until the sending time of the last
/// confirmed renewal plus the time to live.
#[derive(Debug)]
pub struct OwnLease {
    times: RosterTimings,
    current: Option<(LeaseId, Tick)>,
    next_try: Tick,
}

impl OwnLease {
    /// Makes the state before any lease.
    #[must_use]
    pub const fn new(times: RosterTimings) -> Self {
        Self { times, current: None, next_try: Tick::ZERO }
    }

    /// Returns the lease, whether valid or not.
    #[must_use]
    pub fn id(&self) -> Option<LeaseId> {
        self.current.map(|(id, _)| id)
    }

    /// Returns whether the lease is certain to exist in the store.
    #[must_use]
    pub fn is_valid(&self, now: Tick) -> bool {
        self.current.is_some_and(|(_, until)| now < until)
    }

    /// Returns the call that is due, and paces the next one.
    pub fn poll(&mut self, now: Tick) -> Option<LeaseAction> {
        if now < self.next_try {
            return None;
        }
        self.next_try = now + self.times.renew_interval;
        Some(self.current.map_or(LeaseAction::Create, |(id, _)| LeaseAction::Renew(id)))
    }

    /// Takes in a granted or renewed lease; `sent_at` is when the call was sent.
    pub fn on_confirmed(&mut self, id: LeaseId, sent_at: Tick, ttl: Duration) {
        let until = sent_at + ttl.saturating_sub(self.times.lease_margin);
        let known = self.current.filter(|(known, _)| *known == id);
        let until = known.map_or(until, |(_, before)| before.max(until));
        self.current = Some((id, until));
    }

    /// Takes in that the store no longer knows the lease; the next poll asks for a new one.
    pub fn on_lost(&mut self, id: LeaseId, now: Tick) {
        if self.id() == Some(id) {
            self.current = None;
            self.next_try = now;
        }
    }
}
