//! Cold start control of one gateway: roster, granted permits, requested permits, certificates.

use std::time::Duration;

use super::holder::QueuedRequest;
use super::requester::GrantResult;
use super::{
    Certificates, Envelope, Holder, Outcome, Permit, PermitId, PermitLimits, PermitMessage,
    Requester, TargetResponse,
};
use crate::config::ColdLimits;
use crate::ids::{InstanceName, RunId, TargetName};
use crate::roster::Roster;
use crate::{Tick, data};

data! {
    /// Output of the controller: what the embedding program must do.
    pub enum Action {
        /// Send a message to another gateway.
        Send(Envelope),
        /// Send a message to every other gateway.
        Broadcast(PermitMessage),
        /// Pass a permit to the request that waits for it.
        Granted(Permit),
        /// Refuse the permit to the request that waits for it.
        Refused(PermitId),
    }
}

/// Cold start controller of one gateway.
///
/// Each method takes the current time. The clock must be read after the event was taken from its
/// queue. A permit is counted from the time of its grant, and a gateway that was paused between
/// reading the clock and taking the event would count it from too early a time.
#[derive(Debug)]
pub struct Controller {
    roster: Roster,
    holder: Holder,
    requester: Requester,
    certificates: Certificates,
}

impl Controller {
    /// Creates the controller of a gateway that has just started.
    ///
    /// `first_id` must be random, so that permits of an earlier run of the gateway are not taken
    /// for permits of this run.
    #[must_use]
    pub fn new(roster: Roster, limits: PermitLimits, first_id: PermitId) -> Self {
        Self {
            roster,
            holder: Holder::new(limits),
            requester: Requester::new(first_id, limits),
            certificates: Certificates::default(),
        }
    }

    /// Returns the roster of gateways.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the roster of gateways, to pass it events of the store.
    #[must_use]
    pub const fn roster_mut(&mut self) -> &mut Roster {
        &mut self.roster
    }

    /// Returns the state of the permits that this gateway grants.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the state of the permits that this gateway requested.
    #[must_use]
    pub const fn requester(&self) -> &Requester {
        &self.requester
    }

    /// Returns the certificates.
    #[must_use]
    pub const fn certificates(&self) -> &Certificates {
        &self.certificates
    }

    /// Sets the targets with their limits in cold start.
    pub fn set_targets(&mut self, targets: &[(TargetName, ColdLimits)], now: Tick) {
        self.roster.set_targets(targets.iter().map(|(target, _)| target.clone()), now);
        self.holder.set_targets(targets.iter().cloned());
        self.certificates.retain(|known| targets.iter().any(|(target, _)| target == known));
    }

    /// Requests a permit for one request to `target`, and waits for it up to `wait`.
    ///
    /// Returns `None` when no lease holder is known or too many permit requests are open.
    pub fn request_permit(
        &mut self,
        target: &TargetName,
        wait: Duration,
        now: Tick,
    ) -> Option<(PermitId, Vec<Action>)> {
        let holder = self.roster.holder(target)?.clone();
        let (id, message) = self.requester.request_permit(target, &holder, wait, now)?;
        Some((id, self.dispatch(vec![Envelope { to: holder, message }], now)))
    }

    /// Returns `permit` to its lease holder after the request ended.
    ///
    /// Must not be called when it is unknown whether the request has ended: it may still be
    /// running at the target, and its permit then counts until it expires.
    pub fn return_permit(&mut self, permit: &Permit, outcome: Outcome, now: Tick) -> Vec<Action> {
        self.requester.on_use_ended(permit.id);
        let message = permit.return_message(outcome);
        self.dispatch(vec![Envelope { to: permit.holder.clone(), message }], now)
    }

    /// Handles a message from another gateway.
    pub fn on_message(
        &mut self,
        from: &InstanceName,
        message: PermitMessage,
        now: Tick,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let envelopes = self.handle_message(from, message, &mut actions, now);
        actions.extend(self.dispatch(envelopes, now));
        actions
    }

    /// Handles the opening of a liveness connection to `target`.
    pub fn on_liveness_connection_opened(&mut self, target: &TargetName, now: Tick) {
        self.certificates.on_liveness_connection_opened(target, now);
    }

    /// Handles the end of the liveness connection to `target`.
    ///
    /// Other gateways are not notified, as each has a liveness connection of its own.
    pub fn on_liveness_connection_closed(&mut self, target: &TargetName, now: Tick) {
        self.certificates.on_liveness_connection_closed(target, now);
    }

    /// Handles a response of `target`; notifies the other gateways if it revokes a certificate.
    pub fn on_response(
        &mut self,
        target: &TargetName,
        response: &TargetResponse,
        now: Tick,
    ) -> Vec<Action> {
        if !self.certificates.on_response(target, response, now) {
            return Vec::new();
        }
        self.broadcast_cold(target, response.run.clone())
    }

    /// Handles the suspicion of the embedding program that `target` is cold; notifies the other
    /// gateways if this revokes a certificate.
    pub fn on_suspected_cold(
        &mut self,
        target: &TargetName,
        run: Option<RunId>,
        now: Tick,
    ) -> Vec<Action> {
        if !self.certificates.revoke(target, now) {
            return Vec::new();
        }
        self.broadcast_cold(target, run)
    }

    /// Expires permit requests and permits, and grants waiting requests.
    pub fn tick(&mut self, now: Tick) -> Vec<Action> {
        let expired = self.requester.expire_requests(now);
        let mut actions: Vec<Action> = expired.into_iter().map(Action::Refused).collect();
        let envelopes = self.holder.tick(&self.roster, now);
        actions.extend(self.dispatch(envelopes, now));
        actions
    }

    /// Notifies all gateways, including this one, that a run is cold.
    fn broadcast_cold(&mut self, target: &TargetName, run: Option<RunId>) -> Vec<Action> {
        self.holder.on_cold(target);
        vec![Action::Broadcast(PermitMessage::Cold { target: target.clone(), run })]
    }

    /// Returns the actions that send `envelopes`; messages to this gateway itself are handled at
    /// once.
    fn dispatch(&mut self, envelopes: Vec<Envelope>, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut queue = std::collections::VecDeque::from(envelopes);
        while let Some(envelope) = queue.pop_front() {
            if envelope.to != *self.roster.own_name() {
                actions.push(Action::Send(envelope));
                continue;
            }
            queue.extend(self.handle_message(&envelope.to, envelope.message, &mut actions, now));
        }
        actions
    }

    /// Handles one message and returns the replies.
    fn handle_message(
        &mut self,
        from: &InstanceName,
        message: PermitMessage,
        actions: &mut Vec<Action>,
        now: Tick,
    ) -> Vec<Envelope> {
        match message {
            PermitMessage::Request { id, target, wait } => {
                let request = QueuedRequest {
                    from: from.clone(),
                    id,
                    arrived_at: now,
                    wait_until: now + wait,
                };
                return self.holder.on_request(&target, request, &self.roster, now);
            }
            PermitMessage::Grant { id, target, valid_for, run_limit, warm_run, .. } => {
                let result = self.requester.on_grant(from, id, valid_for, run_limit, warm_run, now);
                match result {
                    GrantResult::Usable(permit) => actions.push(Action::Granted(permit)),
                    GrantResult::Duplicate => {}
                    GrantResult::Late => {
                        actions.push(Action::Refused(id));
                        return vec![return_unused(from, id, target)];
                    }
                    GrantResult::Unexpected => return vec![return_unused(from, id, target)],
                }
            }
            PermitMessage::Refusal { id, .. } => {
                if self.requester.on_refusal(from, id) {
                    actions.push(Action::Refused(id));
                }
            }
            PermitMessage::Return { id, target, outcome } => {
                return self.holder.on_return(from, &target, id, &outcome, &self.roster, now);
            }
            PermitMessage::Cold { target, run } => self.on_cold_message(&target, run.as_ref(), now),
        }
        Vec::new()
    }

    /// Handles the notification of another gateway that a run is cold.
    ///
    /// A certificate is kept if it is for a different run than the one reported.
    fn on_cold_message(&mut self, target: &TargetName, run: Option<&RunId>, now: Tick) {
        let known = self.certificates.warm_run(target);
        if run.is_none() || known.is_none() || known == run {
            self.certificates.revoke(target, now);
        }
        self.holder.on_cold(target);
    }
}

/// Returns the message that returns an unused permit to its lease holder.
fn return_unused(holder: &InstanceName, id: PermitId, target: TargetName) -> Envelope {
    let message = PermitMessage::Return { id, target, outcome: Outcome::NotSent };
    Envelope { to: holder.clone(), message }
}
