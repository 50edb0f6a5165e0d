//! The side of a permit that asks for it and uses it.

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
        /// When it was asked for.
        pub requested_at: Tick,
        /// Instant before which the request must be sent.
        pub send_by: Tick,
        /// Longest time the request may run.
        pub run_limit: Duration,
        /// Run that the holder knows to be warm.
        pub warm_run: Option<RunId>,
    }
}

impl Permit {
    /// Returns whether the request may still be sent; to be asked right before the send.
    #[must_use]
    pub fn may_send(&self, now: Tick) -> bool {
        now < self.send_by
    }

    /// Returns the message that ends the use of the permit.
    #[must_use]
    pub fn end(&self, outcome: Outcome) -> PermitMessage {
        PermitMessage::Return { id: self.id, target: self.target.clone(), outcome }
    }
}

data! {
    /// What became of a grant.
    pub enum Granted {
        /// The permit may be used.
        Usable(Permit),
        /// It came too late to be used; whoever waits for it must be told.
        Late,
        /// Nobody waits for it.
        Unexpected,
        /// The same grant arrived before and is in use.
        Repeated,
    }
}

/// A permit request that was not answered yet.
#[derive(Debug)]
struct Open {
    target: TargetName,
    holder: InstanceName,
    requested_at: Tick,
    give_up: Tick,
}

/// The open permit requests of one gateway.
#[derive(Debug)]
pub struct Requester {
    next_id: PermitId,
    open: FxHashMap<PermitId, Open>,
    in_use: FxHashMap<PermitId, Tick>,
    limits: PermitLimits,
}

impl Requester {
    /// Makes the state of a gateway; `first_id` is random so that runs do not share identifiers.
    #[must_use]
    pub fn new(first_id: PermitId, limits: PermitLimits) -> Self {
        Self { next_id: first_id, open: FxHashMap::default(), in_use: FxHashMap::default(), limits }
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of permits in use.
    #[must_use]
    pub fn in_use_count(&self) -> usize {
        self.in_use.len()
    }

    /// Takes in the end of a permit's use.
    pub fn ended(&mut self, id: PermitId) {
        self.in_use.remove(&id);
    }

    /// Asks `holder` for a permit; returns `None` when too many requests are open.
    pub fn ask(
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
        let open = Open {
            target: target.clone(),
            holder: holder.clone(),
            requested_at: now,
            give_up: now + wait,
        };
        self.open.insert(id, open);
        Some((id, PermitMessage::Request { id, target: target.clone(), wait }))
    }

    /// Takes in a grant.
    pub fn granted(
        &mut self,
        from: &InstanceName,
        id: PermitId,
        valid_for: Duration,
        run_limit: Duration,
        warm_run: Option<RunId>,
        now: Tick,
    ) -> Granted {
        if self.in_use.contains_key(&id) {
            return Granted::Repeated;
        }
        let Some(open) = self.open.remove(&id) else {
            return Granted::Unexpected;
        };
        if open.holder != *from {
            self.open.insert(id, open);
            return Granted::Unexpected;
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
            return Granted::Late;
        }
        self.in_use.insert(id, permit.send_by + self.limits.hold());
        Granted::Usable(permit)
    }

    /// Takes in a refusal; returns whether somebody waited for it.
    pub fn refused(&mut self, from: &InstanceName, id: PermitId) -> bool {
        if self.open.get(&id).is_none_or(|open| open.holder != *from) {
            return false;
        }
        self.open.remove(&id).is_some()
    }

    /// Gives up the requests whose wait is over and returns them.
    pub fn expire(&mut self, now: Tick) -> Vec<PermitId> {
        self.in_use.retain(|_, until| *until > now);
        let mut over: Vec<PermitId> = Vec::new();
        for (id, open) in &self.open {
            if open.give_up <= now {
                over.push(*id);
            }
        }
        over.sort();
        for id in &over {
            self.open.remove(id);
        }
        over
    }
}
