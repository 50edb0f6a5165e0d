//! Requesting and use of permits by a gateway.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Outcome, PermitId, PermitLimits, PermitMessage};
use crate::ids::{InstanceName, RunId, TargetName};
use crate::{Tick, data};

data! {
    /// Permission to send one request to a target in cold start.
    pub struct Permit {
        /// Identifier of the permit request.
        pub id: PermitId,
        /// Target to send to.
        pub target: TargetName,
        /// Lease holder that granted it.
        pub holder: InstanceName,
        /// When it was requested.
        pub requested_at: Tick,
        /// Time before which the request must be sent.
        pub send_by: Tick,
        /// Longest time the request may run.
        pub run_limit: Duration,
        /// Run that the lease holder considers warm, if any.
        pub warm_run: Option<RunId>,
    }
}

impl Permit {
    /// Returns whether the request may still be sent; to be checked right before sending.
    #[must_use]
    pub fn may_send(&self, now: Tick) -> bool {
        now < self.send_by
    }

    /// Returns the message that returns the permit to its lease holder.
    #[must_use]
    pub fn return_message(&self, outcome: Outcome) -> PermitMessage {
        PermitMessage::Return { id: self.id, target: self.target.clone(), outcome }
    }
}

data! {
    /// Result of a received grant.
    pub enum GrantResult {
        /// The permit may be used.
        Usable(Permit),
        /// The permit arrived too late to be used; the waiting request must be refused.
        Late,
        /// No request waits for the permit.
        Unexpected,
        /// The same grant arrived before, and its permit is in use.
        Duplicate,
    }
}

/// A permit request without a reply.
#[derive(Debug)]
struct OpenRequest {
    target: TargetName,
    holder: InstanceName,
    requested_at: Tick,
    wait_until: Tick,
}

/// Open permit requests and permits in use of one gateway.
#[derive(Debug)]
pub struct Requester {
    next_id: PermitId,
    open: FxHashMap<PermitId, OpenRequest>,
    /// Permits in use, each with a time by which its request has certainly ended.
    in_use: FxHashMap<PermitId, Tick>,
    limits: PermitLimits,
}

impl Requester {
    /// Creates the state of a gateway; `first_id` must be random, so that no identifier is used by
    /// two runs of the gateway.
    #[must_use]
    pub fn new(first_id: PermitId, limits: PermitLimits) -> Self {
        Self { next_id: first_id, open: FxHashMap::default(), in_use: FxHashMap::default(), limits }
    }

    /// Returns the number of open permit requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of permits in use.
    #[must_use]
    pub fn in_use_count(&self) -> usize {
        self.in_use.len()
    }

    /// Handles the end of the request under a permit.
    pub fn on_use_ended(&mut self, id: PermitId) {
        self.in_use.remove(&id);
    }

    /// Requests a permit from the lease holder `holder` and waits for it up to `wait`.
    ///
    /// Returns `None` when too many permit requests are open.
    pub fn request_permit(
        &mut self,
        target: &TargetName,
        holder: &InstanceName,
        wait: Duration,
        now: Tick,
    ) -> Option<(PermitId, PermitMessage)> {
        if self.open.len() >= self.limits.max_open_requests {
            return None;
        }
        let id = self.next_id;
        self.next_id = PermitId(id.get().wrapping_add(1));
        let open = OpenRequest {
            target: target.clone(),
            holder: holder.clone(),
            requested_at: now,
            wait_until: now + wait,
        };
        self.open.insert(id, open);
        Some((id, PermitMessage::Request { id, target: target.clone(), wait }))
    }

    /// Handles a grant.
    pub fn on_grant(
        &mut self,
        from: &InstanceName,
        id: PermitId,
        valid_for: Duration,
        run_limit: Duration,
        warm_run: Option<RunId>,
        now: Tick,
    ) -> GrantResult {
        if self.in_use.contains_key(&id) {
            return GrantResult::Duplicate;
        }
        let Some(open) = self.open.remove(&id) else {
            return GrantResult::Unexpected;
        };
        if open.holder != *from {
            self.open.insert(id, open);
            return GrantResult::Unexpected;
        }
        let permit = Permit {
            id,
            target: open.target,
            holder: open.holder,
            requested_at: open.requested_at,
            send_by: open.requested_at + valid_for,
            run_limit,
            warm_run,
        };
        if !permit.may_send(now) {
            return GrantResult::Late;
        }
        self.in_use.insert(id, permit.send_by + self.limits.max_lifetime());
        GrantResult::Usable(permit)
    }

    /// Handles a refusal; returns whether a request waited for the permit.
    pub fn on_refusal(&mut self, from: &InstanceName, id: PermitId) -> bool {
        if self.open.get(&id).is_none_or(|open| open.holder != *from) {
            return false;
        }
        self.open.remove(&id).is_some()
    }

    /// Removes and returns the permit requests whose wait is over.
    ///
    /// Also removes permits in use whose request has certainly ended.
    pub fn expire_requests(&mut self, now: Tick) -> Vec<PermitId> {
        self.in_use.retain(|_, until| *until > now);
        let mut expired: Vec<PermitId> = Vec::new();
        for (id, open) in &self.open {
            if open.wait_until <= now {
                expired.push(*id);
            }
        }
        expired.sort();
        for id in &expired {
            self.open.remove(id);
        }
        expired
    }
}
