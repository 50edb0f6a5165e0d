//! The lease of this instance in the store, judged on the local monotonic clock.

use std::time::Duration;

use super::RosterTimings;
use crate::{Tick, data, number_newtype};

number_newtype!(
    /// Identifier that the store gave to a lease.
    LeaseId(u64)
);

data! {
    /// A call to the store that is due.
    pub enum LeaseAction {
        /// Create a new lease.
        Create,
        /// Renew the lease with this identifier.
        Renew(LeaseId),
    }
}

/// The lease of one instance.
///
/// The store counts the time to live from the moment at which it handles a renewal, which is never
/// before the renewal was sent. The lease therefore exists at least until the time at which the
/// last confirmed renewal was sent, plus the time to live.
#[derive(Debug)]
pub struct OwnLease {
    timings: RosterTimings,
    /// The lease and the end of its validity.
    current: Option<(LeaseId, Tick)>,
    next_call_at: Tick,
}

impl OwnLease {
    /// Creates the state of an instance without a lease.
    #[must_use]
    pub const fn new(timings: RosterTimings) -> Self {
        Self { timings, current: None, next_call_at: Tick::ZERO }
    }

    /// Returns the identifier of the lease, whether or not the lease is valid.
    #[must_use]
    pub fn id(&self) -> Option<LeaseId> {
        self.current.map(|(id, _)| id)
    }

    /// Returns whether the lease is certain to exist in the store.
    #[must_use]
    pub fn is_valid(&self, now: Tick) -> bool {
        self.current.is_some_and(|(_, until)| now < until)
    }

    /// Returns the call that is due at `now`, and schedules the next one.
    pub fn poll(&mut self, now: Tick) -> Option<LeaseAction> {
        if now < self.next_call_at {
            return None;
        }
        self.next_call_at = now + self.timings.renew_interval;
        Some(self.current.map_or(LeaseAction::Create, |(id, _)| LeaseAction::Renew(id)))
    }

    /// Handles the creation or renewal of a lease by a call that was sent at `sent_at`.
    ///
    /// A response that arrives late does not shorten the validity.
    pub fn on_confirmed(&mut self, id: LeaseId, sent_at: Tick, ttl: Duration) {
        let until = sent_at + ttl.saturating_sub(self.timings.lease_margin);
        let known = self.current.filter(|(known, _)| *known == id);
        let until = known.map_or(until, |(_, before)| before.max(until));
        self.current = Some((id, until));
    }

    /// Handles that the store no longer has the lease; the next poll creates a new one.
    pub fn on_lost(&mut self, id: LeaseId, now: Tick) {
        if self.id() == Some(id) {
            self.current = None;
            self.next_call_at = now;
        }
    }
}
