//! Requests that are suspected of crashing the targets that run them.

use std::collections::HashMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Hint, Target};
use ibiscroft_core::ids::RunId;
use ibiscroft_core::quarantine::{Fingerprint, Loss, Quarantine, QuarantineStatus};

/// Time after a response during which a request is never quarantined: it evidently does not crash
/// targets, however often it was in flight when one ended for other reasons.
const ANSWERED_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of answered requests that are remembered.
const MAX_ANSWERED_REQUESTS: usize = 4_096;

/// Lost requests seen by this gateway and by others, and recently answered requests.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    quarantine: Quarantine,
    answered: HashMap<Fingerprint, Tick>,
}

impl Suspects {
    /// Returns the end of a request's quarantine, `None` if the request may be sent.
    pub(crate) fn refused_until(&self, now: Tick, request: Fingerprint) -> Option<Tick> {
        if self.was_answered(now, request) {
            return None;
        }
        match self.quarantine.status(now, request) {
            QuarantineStatus::Refused { until } => Some(until),
            _ => None,
        }
    }

    /// Records that the connection to `target` was lost before it answered a request.
    pub(crate) fn record_connection_lost(
        &mut self,
        now: Tick,
        request: Fingerprint,
        target: &Target,
    ) {
        let loss = Loss { fingerprint: request, target: target.name.clone(), run: run_id(target) };
        self.quarantine.note_connection_lost(now, loss);
    }

    /// Records that the process of a target has ended.
    ///
    /// Returns a hint for the other gateways for each request that was lost with it.
    pub(crate) fn record_process_ended(&mut self, now: Tick, target: &Target) -> Vec<Hint> {
        let losses = self.quarantine.note_run_ended(now, &target.name, &run_id(target));
        losses.into_iter().map(Hint::Lost).collect()
    }

    /// Records that a request was answered.
    ///
    /// Returns a hint for the other gateways if the request was a suspect.
    pub(crate) fn record_answered(&mut self, now: Tick, request: Fingerprint) -> Option<Hint> {
        if self.answered.len() >= MAX_ANSWERED_REQUESTS {
            self.answered.retain(|_, at| now.since(*at) < ANSWERED_RETENTION / 4);
        }
        if self.answered.len() < MAX_ANSWERED_REQUESTS {
            self.answered.insert(request, now);
        }
        self.quarantine.note_response(request).then_some(Hint::Answered(request))
    }

    /// Records a hint from another gateway; hints about targets have no effect.
    pub(crate) fn on_hint(&mut self, now: Tick, hint: &Hint) {
        match hint {
            Hint::Lost(loss) => self.quarantine.note_peer_loss(now, loss),
            Hint::Answered(request) => self.quarantine.note_peer_response(*request),
            Hint::Leaving(_) | Hint::Quota(_) | Hint::TargetDown(_) | Hint::TargetUp(_) => {}
        }
    }

    /// Drops expired losses and responses.
    pub(crate) fn expire(&mut self, now: Tick) {
        self.quarantine.expire(now);
        self.answered.retain(|_, at| now.since(*at) < ANSWERED_RETENTION);
    }

    /// Returns whether a request was answered within `ANSWERED_RETENTION`.
    fn was_answered(&self, now: Tick, request: Fingerprint) -> bool {
        self.answered.get(&request).is_some_and(|at| now.since(*at) < ANSWERED_RETENTION)
    }
}

/// Returns the run of a target's process, identified by the incarnation in its registration.
fn run_id(target: &Target) -> RunId {
    RunId::new(target.incarnation.to_string())
}
