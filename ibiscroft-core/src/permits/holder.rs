//! Granting of permits by the lease holder of a target.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Envelope, Outcome, PermitId, PermitLimits, PermitMessage, WarmUp};
use crate::config::ColdLimits;
use crate::ids::{InstanceName, RunId, StoreVersion, TargetName};
use crate::roster::Roster;
use crate::{Tick, data};

data! {
    /// A permit request in the queue of the lease holder.
    pub struct QueuedRequest {
        /// Gateway that requests the permit.
        pub from: InstanceName,
        /// Identifier of the request at that gateway.
        pub id: PermitId,
        /// When the request arrived.
        pub arrived_at: Tick,
        /// When the requesting gateway stops waiting.
        pub wait_until: Tick,
    }
}

/// A granted permit that may be in use.
#[derive(Debug)]
struct Grant {
    from: InstanceName,
    id: PermitId,
    expires_at: Tick,
}

/// State of one target at its lease holder.
#[derive(Debug)]
struct HeldTarget {
    held_since: Tick,
    cold_limits: ColdLimits,
    grants: Vec<Grant>,
    waiting: VecDeque<QueuedRequest>,
    warm_up: WarmUp,
}

/// Permits of all targets whose lease holder is this gateway.
#[derive(Debug)]
pub struct Holder {
    limits: PermitLimits,
    cold_limits: FxHashMap<TargetName, ColdLimits>,
    targets: FxHashMap<TargetName, HeldTarget>,
}

impl Holder {
    /// Creates the state of a gateway that has granted no permits.
    #[must_use]
    pub fn new(limits: PermitLimits) -> Self {
        Self { limits, cold_limits: FxHashMap::default(), targets: FxHashMap::default() }
    }

    /// Sets the targets with their limits in cold start.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = (TargetName, ColdLimits)>) {
        self.cold_limits = targets.into_iter().collect();
        for (target, held) in &mut self.targets {
            if let Some(cold) = self.cold_limits.get(target) {
                held.cold_limits = cold.clone();
            }
        }
    }

    /// Returns the number of permits for `target` that may be in use.
    #[must_use]
    pub fn granted_count(&self, target: &TargetName) -> usize {
        self.targets.get(target).map_or(0, |held| held.grants.len())
    }

    /// Returns the number of permit requests that wait for `target`.
    #[must_use]
    pub fn waiting_count(&self, target: &TargetName) -> usize {
        self.targets.get(target).map_or(0, |held| held.waiting.len())
    }

    /// Returns the run of `target` that has left cold start.
    #[must_use]
    pub fn warm_run(&self, target: &TargetName) -> Option<&RunId> {
        let held = self.targets.get(target)?;
        held.warm_up.warm_run(&held.cold_limits)
    }

    /// Handles a permit request: grants, queues or refuses it.
    pub fn on_request(
        &mut self,
        target: &TargetName,
        request: QueuedRequest,
        roster: &Roster,
        now: Tick,
    ) -> Vec<Envelope> {
        let limit = self.limits.max_waiting_per_target;
        let Some(revision) = roster.grant_revision(target, now) else {
            return vec![refusal(target, &request)];
        };
        let Some(held) = self.held_target(target, roster) else {
            return vec![refusal(target, &request)];
        };
        if held.waiting.len() >= limit {
            return vec![refusal(target, &request)];
        }
        held.waiting.push_back(request);
        let mut envelopes = self.grant_waiting(target, revision, now);
        envelopes.extend(self.refuse_waiting(target, false, now));
        envelopes
    }

    /// Handles the return of a permit and grants waiting requests.
    pub fn on_return(
        &mut self,
        from: &InstanceName,
        target: &TargetName,
        id: PermitId,
        outcome: &Outcome,
        roster: &Roster,
        now: Tick,
    ) -> Vec<Envelope> {
        let Some(held) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        held.grants.retain(|grant| grant.id != id || grant.from != *from);
        if let Outcome::Served { run, state } = outcome {
            held.warm_up.on_response(run.as_ref(), *state, now);
        }
        match roster.grant_revision(target, now) {
            Some(revision) => self.grant_waiting(target, revision, now),
            None => Vec::new(),
        }
    }

    /// Handles the notification that a run of `target` is cold again.
    pub fn on_cold(&mut self, target: &TargetName) {
        if let Some(held) = self.targets.get_mut(target) {
            held.warm_up.reset();
        }
    }

    /// Removes expired permits, grants waiting requests and refuses those whose wait is over.
    pub fn tick(&mut self, roster: &Roster, now: Tick) -> Vec<Envelope> {
        self.drop_lost_targets(roster);
        let mut envelopes = Vec::new();
        let targets: Vec<TargetName> = self.targets.keys().cloned().collect();
        for target in targets {
            let revision = roster.grant_revision(&target, now);
            if let Some(revision) = revision {
                envelopes.extend(self.grant_waiting(&target, revision, now));
            }
            envelopes.extend(self.refuse_waiting(&target, revision.is_none(), now));
        }
        envelopes
    }

    /// Returns the state of `target` since this gateway became its lease holder, or `None` if it
    /// is not.
    fn held_target(&mut self, target: &TargetName, roster: &Roster) -> Option<&mut HeldTarget> {
        let since = roster.held_since(target)?;
        let cold = self.cold_limits.get(target)?;
        let held = self
            .targets
            .entry(target.clone())
            .and_modify(|held| held.reset_if_reacquired(since))
            .or_insert_with(|| HeldTarget::new(since, cold.clone()));
        Some(held)
    }

    /// Drops the state of targets whose lease holder is no longer this gateway.
    fn drop_lost_targets(&mut self, roster: &Roster) {
        let cold = &self.cold_limits;
        self.targets.retain(|target, held| {
            cold.contains_key(target) && roster.held_since(target) == Some(held.held_since)
        });
    }

    /// Grants waiting requests, in the order of arrival, up to the target's concurrency limit.
    fn grant_waiting(
        &mut self,
        target: &TargetName,
        revision: StoreVersion,
        now: Tick,
    ) -> Vec<Envelope> {
        let Some(held) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        held.grants.retain(|grant| grant.expires_at > now);
        let allowed_concurrency = held.warm_up.allowed_concurrency(&held.cold_limits) as usize;
        let mut envelopes = Vec::new();
        while held.grants.len() < allowed_concurrency {
            let Some(request) = held.waiting.pop_front() else {
                break;
            };
            if request.wait_until < now {
                envelopes.push(refusal(target, &request));
                continue;
            }
            envelopes.push(held.grant(target, request, revision, &self.limits, now));
        }
        envelopes
    }

    /// Refuses the waiting requests whose wait is over, or all of them if `refuse_all` is set.
    fn refuse_waiting(
        &mut self,
        target: &TargetName,
        refuse_all: bool,
        now: Tick,
    ) -> Vec<Envelope> {
        let Some(held) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let mut envelopes = Vec::new();
        held.waiting.retain(|request| {
            let keep = !refuse_all && request.wait_until > now;
            if !keep {
                envelopes.push(refusal(target, request));
            }
            keep
        });
        envelopes
    }
}

impl HeldTarget {
    /// Creates the state of a target that this gateway took over at `held_since`.
    fn new(held_since: Tick, cold_limits: ColdLimits) -> Self {
        Self {
            held_since,
            cold_limits,
            grants: Vec::new(),
            waiting: VecDeque::new(),
            warm_up: WarmUp::default(),
        }
    }

    /// Resets the state if the target was lost and taken over again meanwhile.
    fn reset_if_reacquired(&mut self, held_since: Tick) {
        if self.held_since != held_since {
            *self = Self::new(held_since, self.cold_limits.clone());
        }
    }

    /// Records a permit and returns the message that grants it.
    ///
    /// The requester counts `valid_for` from the sending of its permit request, which is before
    /// its arrival here, so the permit ends at the requester no later than the send window ends
    /// here.
    fn grant(
        &mut self,
        target: &TargetName,
        request: QueuedRequest,
        roster_revision: StoreVersion,
        limits: &PermitLimits,
        now: Tick,
    ) -> Envelope {
        let valid_for: Duration = now.since(request.arrived_at) + limits.send_window;
        self.grants.push(Grant {
            from: request.from.clone(),
            id: request.id,
            expires_at: now + limits.max_lifetime(),
        });
        let message = PermitMessage::Grant {
            id: request.id,
            target: target.clone(),
            valid_for,
            run_limit: limits.run_limit,
            warm_run: self.warm_up.warm_run(&self.cold_limits).cloned(),
            roster_revision,
        };
        Envelope { to: request.from, message }
    }
}

/// Returns the refusal of one permit request.
fn refusal(target: &TargetName, request: &QueuedRequest) -> Envelope {
    let message = PermitMessage::Refusal { id: request.id, target: target.clone() };
    Envelope { to: request.from.clone(), message }
}
