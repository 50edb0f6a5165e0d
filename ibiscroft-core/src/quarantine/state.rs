//! Tracks losses and decides how each request is treated.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use super::evidence::Evidence;
use super::fingerprint::Fingerprint;
use super::trial::{Trial, TrialSlot};
use crate::ids::{RunId, TargetName};
use crate::selection::TrialPlacement;
use crate::{Tick, copy_data, data};

/// Time for which a lost connection is kept until it is confirmed that its run ended.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which all gateways are notified of a loss.
pub const LOSS_PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// Maximum number of lost connections kept until it is confirmed that their run ended.
const MAX_UNCONFIRMED: usize = 4_096;

data! {
    /// A request in flight at a target whose run ended.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Loss {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// The target whose run ended.
        pub target: TargetName,
        /// The run that ended.
        pub run: RunId,
    }
}

copy_data! {
    /// How a request is to be treated.
    pub enum QuarantineStatus {
        /// It is sent like any other request.
        Clear,
        /// It was lost recently; its status is to be queried again at `until`.
        Held {
            /// Instant by which all gateways have been notified of the loss.
            until: Tick,
        },
        /// It is sent to a target of its own, separate from other suspects.
        Suspect(TrialPlacement),
        /// It is refused.
        Refused {
            /// Instant at which the refusal ends.
            until: Tick,
        },
    }
}

/// A lost connection of which it is not known whether the run of its target ended.
#[derive(Debug)]
struct UnconfirmedLoss {
    loss: Loss,
    at: Tick,
}

/// Losses known to one gateway: its own and those received from peers.
#[derive(Debug, Default)]
pub struct Quarantine {
    unconfirmed: Vec<UnconfirmedLoss>,
    evidence: Evidence,
    trials: FxHashMap<Fingerprint, TrialSlot>,
}

impl Quarantine {
    /// Records that the connection of a request was lost before its response.
    pub fn note_connection_lost(&mut self, now: Tick, loss: Loss) {
        self.unconfirmed.retain(|unconfirmed| now.since(unconfirmed.at) < CONFIRMATION_TIMEOUT);
        if self.unconfirmed.len() < MAX_UNCONFIRMED {
            self.unconfirmed.push(UnconfirmedLoss { loss, at: now });
        }
    }

    /// Records that a run ended; returns the losses that peers must be notified of.
    #[must_use]
    pub fn note_run_ended(&mut self, now: Tick, target: &TargetName, run: &RunId) -> Vec<Loss> {
        let mut confirmed = Vec::new();
        for unconfirmed in std::mem::take(&mut self.unconfirmed) {
            if unconfirmed.loss.target != *target || unconfirmed.loss.run != *run {
                self.unconfirmed.push(unconfirmed);
                continue;
            }
            if now.since(unconfirmed.at) < CONFIRMATION_TIMEOUT
                && !confirmed.contains(&unconfirmed.loss)
            {
                confirmed.push(unconfirmed.loss);
            }
        }
        for loss in &confirmed {
            self.evidence.insert(now, loss);
        }
        confirmed
    }

    /// Records that a run responded: connections to it that were lost before were cut without the
    /// run ending.
    pub fn note_run_alive(&mut self, target: &TargetName, run: &RunId) {
        self.unconfirmed.retain(|unconfirmed| {
            unconfirmed.loss.target != *target || unconfirmed.loss.run != *run
        });
    }

    /// Records a loss received from a peer.
    pub fn note_peer_loss(&mut self, now: Tick, loss: &Loss) {
        self.evidence.insert(now, loss);
    }

    /// Records that a request received a response at a peer.
    pub fn note_peer_response(&mut self, fingerprint: Fingerprint) {
        self.evidence.clear(fingerprint);
    }

    /// Records that a request received a response; returns whether peers must be notified.
    #[must_use]
    pub fn note_response(&mut self, fingerprint: Fingerprint) -> bool {
        self.unconfirmed.retain(|unconfirmed| unconfirmed.loss.fingerprint != fingerprint);
        self.evidence.clear(fingerprint)
    }

    /// Returns how a request is to be treated at `now`.
    #[must_use]
    pub fn status(&self, now: Tick, fingerprint: Fingerprint) -> QuarantineStatus {
        let lost_at = self
            .unconfirmed
            .iter()
            .filter(|unconfirmed| unconfirmed.loss.fingerprint == fingerprint);
        let held_until = lost_at.map(|unconfirmed| unconfirmed.at + LOSS_PROPAGATION_TIME).max();
        match (self.evidence.status(now, fingerprint), held_until) {
            (QuarantineStatus::Clear, Some(until)) if now < until => {
                QuarantineStatus::Held { until }
            }
            (status, _) => status,
        }
    }

    /// Removes losses that are too old to be taken into account.
    pub fn expire(&mut self, now: Tick) {
        self.unconfirmed.retain(|unconfirmed| now.since(unconfirmed.at) < CONFIRMATION_TIMEOUT);
        self.evidence.expire(now);
        let known: FxHashSet<Fingerprint> = self.evidence.fingerprints().collect();
        self.trials.retain(|fingerprint, _| known.contains(fingerprint));
    }

    /// Returns a snapshot of the requests that are not clear, for use by other threads.
    ///
    /// A new one is needed after each event, and when the `until` of a held or refused request is
    /// reached.
    #[must_use]
    pub fn snapshot(&mut self, now: Tick) -> QuarantineSnapshot {
        let mut snapshot = QuarantineSnapshot::default();
        let unconfirmed = self.unconfirmed.iter().map(|unconfirmed| unconfirmed.loss.fingerprint);
        let fingerprints: Vec<Fingerprint> =
            unconfirmed.chain(self.evidence.fingerprints()).collect();
        for fingerprint in fingerprints {
            let status = self.status(now, fingerprint);
            if status == QuarantineStatus::Clear {
                continue;
            }
            let trial = self.trials.entry(fingerprint).or_default().clone();
            snapshot.by_fingerprint.insert(fingerprint, Entry { status, trial });
        }
        snapshot
    }
}

#[derive(Clone, Debug)]
struct Entry {
    status: QuarantineStatus,
    trial: TrialSlot,
}

/// An immutable snapshot of the requests that are not clear.
#[derive(Clone, Debug, Default)]
pub struct QuarantineSnapshot {
    by_fingerprint: FxHashMap<Fingerprint, Entry>,
}

impl QuarantineSnapshot {
    /// Returns whether every request is clear, so that no fingerprint needs to be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Returns how a request is to be treated at `now`.
    ///
    /// A held request stays held after its `until`, up to the next snapshot.
    #[must_use]
    pub fn status(&self, now: Tick, fingerprint: Fingerprint) -> QuarantineStatus {
        match self.by_fingerprint.get(&fingerprint).map(|entry| entry.status) {
            Some(QuarantineStatus::Refused { until }) if until <= now => {
                QuarantineStatus::Suspect(TrialPlacement::default())
            }
            Some(status) => status,
            None => QuarantineStatus::Clear,
        }
    }

    /// Begins an attempt of a suspect; the result must be kept until the attempt ends.
    ///
    /// Returns `None` while another attempt of the same request is in flight at this gateway; the
    /// request is then to be treated like one that is [`QuarantineStatus::Held`].
    #[must_use]
    pub fn begin_trial(&self, fingerprint: Fingerprint) -> Option<Trial> {
        self.by_fingerprint.get(&fingerprint)?.trial.take()
    }
}
