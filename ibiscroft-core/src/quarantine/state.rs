//! Losses, the requests they put under suspicion and the requests refused for them.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use super::evidence::Evidence;
use super::fingerprint::Fingerprint;
use super::trial::{Trial, TrialSlot};
use crate::ids::{RunId, TargetName};
use crate::selection::TrialPlacement;
use crate::{Tick, copy_data, data};

/// Time in which a lost connection is connected with the end of its run.
const CONFIRM_WITHIN: Duration = Duration::from_secs(10);
/// Time in which all gateways hear of a loss.
pub const LOSS_PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// Lost connections kept until their run is known to have ended.
const MAX_PENDING: usize = 4_096;

data! {
    /// A request was lost together with the backend server that ran it.
    #[derive(serde::Serialize, serde::Deserialize)]
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
    /// How a request may be treated.
    pub enum QuarantineStatus {
        /// Like any other.
        Clear,
        /// It was just lost; ask again at `until`, when all gateways know of the losses.
        Held {
            /// When it is known how the request may be treated.
            until: Tick,
        },
        /// It is tried apart from other suspects.
        Suspect(TrialPlacement),
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
    trials: FxHashMap<Fingerprint, TrialSlot>,
}

impl Quarantine {
    /// Notes that the connection of a request was lost before its answer.
    pub fn note_connection_lost(&mut self, now: Tick, loss: Loss) {
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
    pub fn note_peer_response(&mut self, fingerprint: Fingerprint) {
        self.evidence.clear(fingerprint);
    }

    /// Notes that a request was answered; returns whether peers must hear of it.
    #[must_use]
    pub fn note_response(&mut self, fingerprint: Fingerprint) -> bool {
        self.pending.retain(|pending| pending.loss.fingerprint != fingerprint);
        self.evidence.clear(fingerprint)
    }

    /// Returns how a request may be treated at `now`.
    #[must_use]
    pub fn status(&self, now: Tick, fingerprint: Fingerprint) -> QuarantineStatus {
        let lost_at = self.pending.iter().filter(|pending| pending.loss.fingerprint == fingerprint);
        let held_until = lost_at.map(|pending| pending.at + LOSS_PROPAGATION_TIME).max();
        match (self.evidence.status(now, fingerprint), held_until) {
            (QuarantineStatus::Clear, Some(until)) if now < until => {
                QuarantineStatus::Held { until }
            }
            (standing, _) => standing,
        }
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Tick) {
        self.pending.retain(|pending| now.since(pending.at) < CONFIRM_WITHIN);
        self.evidence.expire(now);
        let known: FxHashSet<Fingerprint> = self.evidence.fingerprints().collect();
        self.trials.retain(|fingerprint, _| known.contains(fingerprint));
    }

    /// Returns the requests that are not clear, for the traffic threads.
    ///
    /// Publish it anew after each event, and when the time of a held or refused one has come.
    #[must_use]
    pub fn snapshot(&mut self, now: Tick) -> QuarantineSnapshot {
        let mut standings = QuarantineSnapshot::default();
        let pending = self.pending.iter().map(|pending| pending.loss.fingerprint);
        let fingerprints: Vec<Fingerprint> = pending.chain(self.evidence.fingerprints()).collect();
        for fingerprint in fingerprints {
            let standing = self.status(now, fingerprint);
            if standing == QuarantineStatus::Clear {
                continue;
            }
            let trial = self.trials.entry(fingerprint).or_default().clone();
            standings.by_fingerprint.insert(fingerprint, Entry { standing, trial });
        }
        standings
    }
}

#[derive(Clone, Debug)]
struct Entry {
    standing: QuarantineStatus,
    trial: TrialSlot,
}

/// An immutable snapshot of the requests that are not clear.
#[derive(Clone, Debug, Default)]
pub struct QuarantineSnapshot {
    by_fingerprint: FxHashMap<Fingerprint, Entry>,
}

impl QuarantineSnapshot {
    /// Returns whether every request is clear, so that no fingerprint is needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Returns how a request may be treated at `now`.
    ///
    /// A held one whose time has come stays held until control publishes the next snapshot.
    #[must_use]
    pub fn status(&self, now: Tick, fingerprint: Fingerprint) -> QuarantineStatus {
        match self.by_fingerprint.get(&fingerprint).map(|entry| entry.standing) {
            Some(QuarantineStatus::Refused { until }) if until <= now => {
                QuarantineStatus::Suspect(TrialPlacement::default())
            }
            Some(standing) => standing,
            None => QuarantineStatus::Clear,
        }
    }
    /// Begins the try of a suspect; keep the result until the try ends.
    ///
    /// `None` while another try of it is in flight at this gateway: hold the request as for
    /// [`QuarantineStatus::Held`].
    #[must_use]
    pub fn begin_trial(&self, fingerprint: Fingerprint) -> Option<Trial> {
        self.by_fingerprint.get(&fingerprint)?.trial.take()
    }
}
