//! Requests that crash the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Hint, Target};
use ibiscroft_core::ids::RunId;
use ibiscroft_core::quarantine::{Fingerprint, Loss, Quarantine, QuarantineStatus};

/// Time for which an answer speaks for a request: one that was answered lately does not crash
/// targets, however often it was in flight when one ended for other reasons.
const ANSWER_SPEAKS: Duration = Duration::from_secs(120);
/// Answered requests that are remembered.
const MAX_ANSWERED: usize = 4_096;

/// Losses of this gateway and of the others, and the requests that were answered lately.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    quarantine: Quarantine,
    answered: HashMap<Fingerprint, Tick>,
}

impl Suspects {
    /// Returns until when a request is refused, `None` if it may be sent.
    pub(crate) fn refused_until(&self, now: Tick, request: Fingerprint) -> Option<Tick> {
        if self.was_answered(now, request) {
            return None;
        }
        match self.quarantine.status(now, request) {
            QuarantineStatus::Refused { until } => Some(until),
            _ => None,
        }
    }

    /// Notes that the connection of a request was lost before its answer.
    pub(crate) fn note_lost(&mut self, now: Tick, request: Fingerprint, target: &Target) {
        let loss = Loss { fingerprint: request, target: target.name.clone(), run: run(target) };
        self.quarantine.note_connection_lost(now, loss);
    }

    /// Notes that the process of a target has ended; returns what other gateways must hear.
    pub(crate) fn note_ended(&mut self, now: Tick, target: &Target) -> Vec<Hint> {
        let losses = self.quarantine.note_run_ended(now, &target.name, &run(target));
        losses.into_iter().map(Hint::Lost).collect()
    }

    /// Notes that a request was answered; returns what other gateways must hear.
    pub(crate) fn note_answered(&mut self, now: Tick, request: Fingerprint) -> Option<Hint> {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.retain(|_, at| now.since(*at) < ANSWER_SPEAKS / 4);
        }
        if self.answered.len() < MAX_ANSWERED {
            self.answered.insert(request, now);
        }
        self.quarantine.note_response(request).then_some(Hint::Answered(request))
    }

    /// Takes what another gateway saw.
    pub(crate) fn note_hint(&mut self, now: Tick, hint: &Hint) {
        match hint {
            Hint::Lost(loss) => self.quarantine.note_peer_loss(now, loss),
            Hint::Answered(request) => self.quarantine.note_peer_response(*request),
        }
    }

    /// Forgets what is too old to count.
    pub(crate) fn expire(&mut self, now: Tick) {
        self.quarantine.expire(now);
        self.answered.retain(|_, at| now.since(*at) < ANSWER_SPEAKS);
    }

    fn was_answered(&self, now: Tick, request: Fingerprint) -> bool {
        self.answered.get(&request).is_some_and(|at| now.since(*at) < ANSWER_SPEAKS)
    }
}

/// Returns the run of a target: its process as registered.
fn run(target: &Target) -> RunId {
    RunId::new(target.incarnation.to_string())
}
