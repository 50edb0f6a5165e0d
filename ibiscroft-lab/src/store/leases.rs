//! Leases: the keys written with a lease are deleted when the lease ends.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::{Tick, number_newtype};

number_newtype!(
    /// Identifies a lease.
    LeaseId(u64)
);

/// A lease that has not ended.
#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Tick,
}

/// All leases that have not ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    last_id: u64,
    live: BTreeMap<LeaseId, Lease>,
}

impl Leases {
    /// Grants a lease that ends `ttl` after `now`.
    pub(super) fn grant(&mut self, ttl: Duration, now: Tick) -> LeaseId {
        self.last_id += 1;
        let id = LeaseId(self.last_id);
        self.live.insert(id, Lease { ttl, ends_at: now + ttl });
        id
    }

    /// Renews a lease for its full time to live and returns that time; `None` if it has ended.
    pub(super) fn renew(&mut self, id: LeaseId, now: Tick) -> Option<Duration> {
        let lease = self.live.get_mut(&id)?;
        lease.ends_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease; returns whether it was live.
    pub(super) fn revoke(&mut self, id: LeaseId) -> bool {
        self.live.remove(&id).is_some()
    }

    /// Returns whether a lease is live.
    pub(super) fn is_live(&self, id: LeaseId) -> bool {
        self.live.contains_key(&id)
    }

    /// Ends the leases whose time to live has passed and returns their ids.
    pub(super) fn expire(&mut self, now: Tick) -> Vec<LeaseId> {
        let mut ended = Vec::new();
        for (&id, lease) in &self.live {
            if lease.ends_at <= now {
                ended.push(id);
            }
        }
        for id in &ended {
            self.live.remove(id);
        }
        ended
    }
}
