//! The side of a permit that grants it: the lease holder of a target.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Envelope, Outcome, PermitId, PermitLimits, PermitMessage, WarmUp};
use crate::config::ColdLimits;
use crate::ids::{InstanceName, RunId, StoreVersion, TargetName};
use crate::roster::Roster;
use crate::{Tick, data};

data! {
    /// A permit request as it arrived.
    pub struct Ask {
        /// Gateway that asks.
        pub from: InstanceName,
        /// Its identifier of the request.
        pub id: PermitId,
        /// When the request arrived.
        pub arrived: Tick,
        /// When the asker stops waiting.
        pub give_up: Tick,
    }
}

/// A permit that may be in use.
#[derive(Debug)]
struct Grant {
    from: InstanceName,
    id: PermitId,
    ends_at: Tick,
}

/// What a holder knows of one target.
#[derive(Debug)]
struct HeldTarget {
    since: Tick,
    cold: ColdLimits,
    grants: Vec<Grant>,
    waiting: VecDeque<Ask>,
    warm_up: WarmUp,
}

/// The permits that one instance has given out.
#[derive(Debug)]
pub struct Holder {
    limits: PermitLimits,
    cold: FxHashMap<TargetName, ColdLimits>,
    held: FxHashMap<TargetName, HeldTarget>,
}

impl Holder {
    /// Makes the state of an instance that granted nothing yet.
    #[must_use]
    pub fn new(limits: PermitLimits) -> Self {
        Self { limits, cold: FxHashMap::default(), held: FxHashMap::default() }
    }

    /// Sets what each target bears in cold start.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = (TargetName, ColdLimits)>) {
        self.cold = targets.into_iter().collect();
        for (target, held) in &mut self.held {
            if let Some(cold) = self.cold.get(target) {
                held.cold = cold.clone();
            }
        }
    }

    /// Returns the number of permits of `target` that may be in use.
    #[must_use]
    pub fn granted_count(&self, target: &TargetName) -> usize {
        self.held.get(target).map_or(0, |held| held.grants.len())
    }

    /// Returns the number of requests that wait for `target`.
    #[must_use]
    pub fn waiting_count(&self, target: &TargetName) -> usize {
        self.held.get(target).map_or(0, |held| held.waiting.len())
    }

    /// Returns the run of `target` that has left cold start.
    #[must_use]
    pub fn warm_run(&self, target: &TargetName) -> Option<&RunId> {
        let held = self.held.get(target)?;
        held.warm_up.warm_run(&held.cold)
    }

    /// Takes in a permit request.
    pub fn requested(
        &mut self,
        target: &TargetName,
        ask: Ask,
        roster: &Roster,
        now: Tick,
    ) -> Vec<Envelope> {
        let limit = self.limits.max_waiting_per_target;
        let Some(revision) = roster.grant_revision(target, now) else {
            return vec![refusal(target, &ask)];
        };
        let Some(held) = self.entry(target, roster) else {
            return vec![refusal(target, &ask)];
        };
        if held.waiting.len() >= limit {
            return vec![refusal(target, &ask)];
        }
        held.waiting.push_back(ask);
        let mut out = self.serve(target, revision, now);
        out.extend(self.drop_overdue(target, false, now));
        out
    }

    /// Takes in the end of a permit's use.
    pub fn returned(
        &mut self,
        from: &InstanceName,
        target: &TargetName,
        id: PermitId,
        outcome: &Outcome,
        roster: &Roster,
        now: Tick,
    ) -> Vec<Envelope> {
        let Some(held) = self.held.get_mut(target) else {
            return Vec::new();
        };
        held.grants.retain(|grant| grant.id != id || grant.from != *from);
        if let Outcome::Served { run, state } = outcome {
            held.warm_up.answered(run.as_ref(), *state, now);
        }
        match roster.grant_revision(target, now) {
            Some(revision) => self.serve(target, revision, now),
            None => Vec::new(),
        }
    }

    /// Takes in that a run of `target` fell back into cold start.
    pub fn fell_cold(&mut self, target: &TargetName) {
        if let Some(held) = self.held.get_mut(target) {
            held.warm_up.reset();
        }
    }

    /// Ends expired permits, refuses those that waited long enough and serves the others.
    pub fn tick(&mut self, roster: &Roster, now: Tick) -> Vec<Envelope> {
        self.forget_lost(roster);
        let mut out = Vec::new();
        let targets: Vec<TargetName> = self.held.keys().cloned().collect();
        for target in targets {
            let authority = roster.grant_revision(&target, now);
            if let Some(revision) = authority {
                out.extend(self.serve(&target, revision, now));
            }
            out.extend(self.drop_overdue(&target, authority.is_none(), now));
        }
        out
    }

    /// Returns the state of `target` for its present time of ownership.
    fn entry(&mut self, target: &TargetName, roster: &Roster) -> Option<&mut HeldTarget> {
        let since = roster.held_since(target)?;
        let cold = self.cold.get(target)?;
        let held = self
            .held
            .entry(target.clone())
            .and_modify(|held| held.renew(since))
            .or_insert_with(|| HeldTarget::new(since, cold.clone()));
        Some(held)
    }

    /// Drops the state of targets that this instance no longer holds.
    fn forget_lost(&mut self, roster: &Roster) {
        let cold = &self.cold;
        self.held.retain(|target, held| {
            cold.contains_key(target) && roster.held_since(target) == Some(held.since)
        });
    }

    /// Grants permits to those who wait while the target bears more.
    fn serve(&mut self, target: &TargetName, revision: StoreVersion, now: Tick) -> Vec<Envelope> {
        let Some(held) = self.held.get_mut(target) else {
            return Vec::new();
        };
        held.grants.retain(|grant| grant.ends_at > now);
        let allowance = held.warm_up.allowance(&held.cold) as usize;
        let mut out = Vec::new();
        while held.grants.len() < allowance {
            let Some(ask) = held.waiting.pop_front() else {
                break;
            };
            if ask.give_up < now {
                out.push(refusal(target, &ask));
                continue;
            }
            out.push(held.grant(target, ask, revision, &self.limits, now));
        }
        out
    }

    /// Refuses waiting requests whose time is over, or all of them.
    fn drop_overdue(&mut self, target: &TargetName, all: bool, now: Tick) -> Vec<Envelope> {
        let Some(held) = self.held.get_mut(target) else {
            return Vec::new();
        };
        let mut out = Vec::new();
        held.waiting.retain(|ask| {
            let keep = !all && ask.give_up > now;
            if !keep {
                out.push(refusal(target, ask));
            }
            keep
        });
        out
    }
}

impl HeldTarget {
    /// Makes the state of a target that was taken over at `since`.
    fn new(since: Tick, cold: ColdLimits) -> Self {
        Self {
            since,
            cold,
            grants: Vec::new(),
            waiting: VecDeque::new(),
            warm_up: WarmUp::default(),
        }
    }

    /// Forgets everything when the target was lost and taken over again in between.
    fn renew(&mut self, since: Tick) {
        if self.since != since {
            *self = Self::new(since, self.cold.clone());
        }
    }

    /// Records a permit and returns the message that grants it.
    fn grant(
        &mut self,
        target: &TargetName,
        ask: Ask,
        roster_revision: StoreVersion,
        limits: &PermitLimits,
        now: Tick,
    ) -> Envelope {
        let valid_for: Duration = now.since(ask.arrived) + limits.send_window;
        self.grants.push(Grant {
            from: ask.from.clone(),
            id: ask.id,
            ends_at: now + limits.hold(),
        });
        let message = PermitMessage::Grant {
            id: ask.id,
            target: target.clone(),
            valid_for,
            run_limit: limits.run_limit,
            warm_run: self.warm_up.warm_run(&self.cold).cloned(),
            roster_revision,
        };
        Envelope { to: ask.from, message }
    }
}

/// Returns the refusal of one permit request.
fn refusal(target: &TargetName, ask: &Ask) -> Envelope {
    let message = PermitMessage::Refusal { id: ask.id, target: target.clone() };
    Envelope { to: ask.from.clone(), message }
}
