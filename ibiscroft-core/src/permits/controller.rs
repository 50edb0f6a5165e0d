//! One gateway's part in cold start: roster, permits given out, permits used, certificates.

use std::time::Duration;

use super::holder::Ask;
use super::requester::Granted;
use super::{
    Certificates, Envelope, Holder, Outcome, Permit, PermitId, PermitLimits, PermitMessage,
    Requester, TargetResponse,
};
use crate::config::ColdLimits;
use crate::ids::{InstanceName, RunId, TargetName};
use crate::roster::Roster;
use crate::{Tick, data};

data! {
    /// What the embedding program has to do.
    pub enum Action {
        /// Send a message to another gateway.
        Send(Envelope),
        /// Send a message to every other gateway.
        Broadcast(PermitMessage),
        /// Hand a permit to the request that asked for it.
        Granted(Permit),
        /// Tell the request that asked that there is no permit.
        Refused(PermitId),
    }
}

/// The cold start controller of one gateway.
///
/// Each call takes the present instant. The clock must be read after the event was taken from
/// its queue: a permit counts from the instant of its grant, and a gateway that was paused
/// between reading the clock and taking the event would count it from too early an instant.
#[derive(Debug)]
pub struct Controller {
    roster: Roster,
    holder: Holder,
    requester: Requester,
    certificates: Certificates,
}

impl Controller {
    /// Makes the controller of a gateway that just started.
    ///
    /// `first_id` is random, so that permits of an earlier run are not mistaken for one's own.
    #[must_use]
    pub fn new(roster: Roster, limits: PermitLimits, first_id: PermitId) -> Self {
        Self {
            roster,
            holder: Holder::new(limits),
            requester: Requester::new(first_id, limits),
            certificates: Certificates::default(),
        }
    }

    /// Returns the roster.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the roster for events of the store.
    #[must_use]
    pub const fn roster_mut(&mut self) -> &mut Roster {
        &mut self.roster
    }

    /// Returns the permits given out.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the permits asked for.
    #[must_use]
    pub const fn requester(&self) -> &Requester {
        &self.requester
    }

    /// Returns the certificates.
    #[must_use]
    pub const fn certificates(&self) -> &Certificates {
        &self.certificates
    }

    /// Sets the targets and what each bears in cold start.
    pub fn set_targets(&mut self, targets: &[(TargetName, ColdLimits)], now: Tick) {
        self.roster.set_targets(targets.iter().map(|(target, _)| target.clone()), now);
        self.holder.set_targets(targets.iter().cloned());
        self.certificates.retain(|known| targets.iter().any(|(target, _)| target == known));
    }

    /// Asks for a permit; returns `None` when no holder is known or too many requests are open.
    pub fn request_permit(
        &mut self,
        target: &TargetName,
        wait: Duration,
        now: Tick,
    ) -> Option<(PermitId, Vec<Action>)> {
        let holder = self.roster.holder(target)?.clone();
        let (id, message) = self.requester.ask(target, &holder, wait, now)?;
        Some((id, self.deliver(vec![Envelope { to: holder, message }], now)))
    }

    /// Ends the use of `permit`; a request whose end is unknown must not be reported here.
    pub fn return_permit(&mut self, permit: &Permit, outcome: Outcome, now: Tick) -> Vec<Action> {
        self.requester.ended(permit.id);
        let message = permit.end(outcome);
        self.deliver(vec![Envelope { to: permit.holder.clone(), message }], now)
    }

    /// Takes in a message of another gateway.
    pub fn on_message(
        &mut self,
        from: &InstanceName,
        message: PermitMessage,
        now: Tick,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let out = self.handle(from, message, &mut actions, now);
        actions.extend(self.deliver(out, now));
        actions
    }

    /// Takes in that a tripwire to `target` was opened.
    pub fn on_liveness_connection_opened(&mut self, target: &TargetName, now: Tick) {
        self.certificates.tripwire_opened(target, now);
    }

    /// Takes in that the tripwire to `target` was closed.
    ///
    /// Every gateway has its own tripwire, so nobody is told.
    pub fn on_liveness_connection_closed(&mut self, target: &TargetName, now: Tick) {
        self.certificates.tripwire_closed(target, now);
    }

    /// Takes in an answer of `target`; other gateways hear of the end of a certificate.
    pub fn on_response(
        &mut self,
        target: &TargetName,
        answer: &TargetResponse,
        now: Tick,
    ) -> Vec<Action> {
        if !self.certificates.answered(target, answer, now) {
            return Vec::new();
        }
        self.fell_cold(target, answer.run.clone())
    }

    /// Takes in that the embedding program judges `target` to be cold.
    pub fn suspected_cold(
        &mut self,
        target: &TargetName,
        run: Option<RunId>,
        now: Tick,
    ) -> Vec<Action> {
        if !self.certificates.void(target, now) {
            return Vec::new();
        }
        self.fell_cold(target, run)
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Tick) -> Vec<Action> {
        let expired = self.requester.expire(now);
        let mut actions: Vec<Action> = expired.into_iter().map(Action::Refused).collect();
        let out = self.holder.tick(&self.roster, now);
        actions.extend(self.deliver(out, now));
        actions
    }

    /// Tells every gateway, this one included, that a run is cold.
    fn fell_cold(&mut self, target: &TargetName, run: Option<RunId>) -> Vec<Action> {
        self.holder.fell_cold(target);
        vec![Action::Broadcast(PermitMessage::Cold { target: target.clone(), run })]
    }

    /// Turns envelopes into actions; those to this gateway are handled at once.
    fn deliver(&mut self, out: Vec<Envelope>, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut queue = std::collections::VecDeque::from(out);
        while let Some(envelope) = queue.pop_front() {
            if envelope.to != *self.roster.own_name() {
                actions.push(Action::Send(envelope));
                continue;
            }
            queue.extend(self.handle(&envelope.to, envelope.message, &mut actions, now));
        }
        actions
    }

    /// Handles one message and returns the answers to it.
    fn handle(
        &mut self,
        from: &InstanceName,
        message: PermitMessage,
        actions: &mut Vec<Action>,
        now: Tick,
    ) -> Vec<Envelope> {
        match message {
            PermitMessage::Request { id, target, wait } => {
                let ask = Ask { from: from.clone(), id, arrived: now, give_up: now + wait };
                return self.holder.requested(&target, ask, &self.roster, now);
            }
            PermitMessage::Grant { id, target, valid_for, run_limit, warm_run, .. } => {
                let granted = self.requester.granted(from, id, valid_for, run_limit, warm_run, now);
                match granted {
                    Granted::Usable(permit) => actions.push(Action::Granted(permit)),
                    Granted::Repeated => {}
                    Granted::Late => {
                        actions.push(Action::Refused(id));
                        return vec![not_sent(from, id, target)];
                    }
                    Granted::Unexpected => return vec![not_sent(from, id, target)],
                }
            }
            PermitMessage::Refusal { id, .. } => {
                if self.requester.refused(from, id) {
                    actions.push(Action::Refused(id));
                }
            }
            PermitMessage::Return { id, target, outcome } => {
                return self.holder.returned(from, &target, id, &outcome, &self.roster, now);
            }
            PermitMessage::Cold { target, run } => self.heard_cold(&target, run.as_ref(), now),
        }
        Vec::new()
    }

    /// Takes in another gateway's word that a run is cold.
    fn heard_cold(&mut self, target: &TargetName, run: Option<&RunId>, now: Tick) {
        let known = self.certificates.warm_run(target);
        if run.is_none() || known.is_none() || known == run {
            self.certificates.void(target, now);
        }
        self.holder.fell_cold(target);
    }
}

/// Returns the message that gives back a permit that was not used.
fn not_sent(holder: &InstanceName, id: PermitId, target: TargetName) -> Envelope {
    let message = PermitMessage::Return { id, target, outcome: Outcome::NotSent };
    Envelope { to: holder.clone(), message }
}
