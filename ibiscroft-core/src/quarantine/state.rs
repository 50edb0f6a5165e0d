//! Losses, the requests they put under suspicion and the requests refused for them.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::evidence::Evidence;
use super::fingerprint::Fingerprint;
use crate::ids::{RunId, TargetName};
use crate::{Tick, copy_data, data};

/// Time in which a lost connection is connected with the end of its run.
const CONFIRM_WITHIN: Duration = Duration::from_secs(10);
/// Lost connections kept until their run is known to have ended.
const MAX_PENDING: usize = 4_096;

data! {
    /// A request was lost together with the backend server that ran it.
    pub struct Loss {
        /// The request.
        pub fingerprint: Fingerprint,
        /// The target that was lost.
        pub target: TargetName,
        /// The run that ended.
        pub run: RunId,
    }
}

copy_data! {
    /// Where a suspect is tried, so that suspects of one loss do not meet again.
    #[derive(Default)]
    pub struct Place {
        /// Same for all suspects of the loss, at each gateway.
        pub seed: u64,
        /// Position among them.
        pub position: usize,
    }

    /// How a request may be treated.
    pub enum Standing {
        /// Like any other.
        Clear,
        /// It is not retried at once, and is tried apart from other suspects.
        Suspect(Place),
        /// It is refused.
        Refused {
            /// When the refusal ends.
            until: Tick,
        },
    }
}

#[derive(Debug)]
struct Pending {
    loss: Loss,
    at: Tick,
}

/// Losses known to one gateway, its own and those its peers told.
#[derive(Debug, Default)]
pub struct Quarantine {
    pending: Vec<Pending>,
    evidence: Evidence,
}

impl Quarantine {
    /// Notes that the connection of a request was lost before its answer.
    pub fn note_lost(&mut self, now: Tick, loss: Loss) {
        self.pending.retain(|pending| now.since(pending.at) < CONFIRM_WITHIN);
        if self.pending.len() < MAX_PENDING {
            self.pending.push(Pending { loss, at: now });
        }
    }

    /// Notes that a run ended; returns the losses that peers must hear of.
    #[must_use]
    pub fn note_run_ended(&mut self, now: Tick, target: &TargetName, run: &RunId) -> Vec<Loss> {
        let mut confirmed = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            if pending.loss.target != *target || pending.loss.run != *run {
                self.pending.push(pending);
                continue;
            }
            if now.since(pending.at) < CONFIRM_WITHIN && !confirmed.contains(&pending.loss) {
                confirmed.push(pending.loss);
            }
        }
        for loss in &confirmed {
            self.evidence.insert(now, loss);
        }
        confirmed
    }

    /// Notes that a run answered after connections to it were lost: they were merely cut.
    pub fn note_run_alive(&mut self, target: &TargetName, run: &RunId) {
        self.pending.retain(|pending| pending.loss.target != *target || pending.loss.run != *run);
    }

    /// Notes a loss that a peer told.
    pub fn note_peer_loss(&mut self, now: Tick, loss: &Loss) {
        self.evidence.insert(now, loss);
    }

    /// Notes that a peer saw a request answered.
    pub fn note_peer_answered(&mut self, fingerprint: Fingerprint) {
        self.evidence.clear(fingerprint);
    }

    /// Notes that a request was answered; returns whether peers must hear of it.
    #[must_use]
    pub fn note_answered(&mut self, fingerprint: Fingerprint) -> bool {
        self.pending.retain(|pending| pending.loss.fingerprint != fingerprint);
        self.evidence.clear(fingerprint)
    }

    /// Returns how a request may be treated at `now`.
    #[must_use]
    pub fn standing(&self, now: Tick, fingerprint: Fingerprint) -> Standing {
        let standing = self.evidence.standing(now, fingerprint);
        let is_pending =
            || self.pending.iter().any(|pending| pending.loss.fingerprint == fingerprint);
        if standing == Standing::Clear && is_pending() {
            return Standing::Suspect(Place::default());
        }
        standing
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Tick) {
        self.pending.retain(|pending| now.since(pending.at) < CONFIRM_WITHIN);
        self.evidence.expire(now);
    }

    /// Returns the requests that are not clear, for the traffic threads.
    #[must_use]
    pub fn standings(&self, now: Tick) -> Standings {
        let mut standings = Standings::default();
        for fingerprint in self.evidence.fingerprints() {
            match self.evidence.standing(now, fingerprint) {
                Standing::Clear => continue,
                standing => standings.by_fingerprint.insert(fingerprint, standing),
            };
        }
        standings
    }
}

/// An immutable snapshot of the requests that are not clear.
#[derive(Clone, Debug, Default)]
pub struct Standings {
    by_fingerprint: FxHashMap<Fingerprint, Standing>,
}

impl Standings {
    /// Returns whether every request is clear, so that no fingerprint is needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Returns how a request may be treated at `now`.
    #[must_use]
    pub fn standing(&self, now: Tick, fingerprint: Fingerprint) -> Standing {
        match self.by_fingerprint.get(&fingerprint) {
            Some(Standing::Refused { until }) if *until <= now => {
                Standing::Suspect(Place::default())
            }
            Some(standing) => *standing,
            None => Standing::Clear,
        }
    }
}
