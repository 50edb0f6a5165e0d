//! Certificates that a target's present run is warm.
//!
//! A certificate is bound to a tripwire: an idle connection to the target that the end of the
//! target's process closes. It takes three things: the tripwire is open, the lease holder says
//! that a run is warm, and that same run answered a request that was sent after the tripwire was
//! opened. A backend server runs one process at a time, so the tripwire then belongs to that run.

use rustc_hash::FxHashMap;

use super::ReportedState;
use crate::ids::{RunId, TargetName};
use crate::{Tick, data};

data! {
    /// What a permit says about the warm run of its target.
    pub struct PermitProof {
        /// When the permit was asked for.
        pub requested_at: Tick,
        /// Run that the lease holder knows to be warm.
        pub warm_run: Option<RunId>,
    }

    /// An answer of a target, as far as it bears on warmth.
    pub struct TargetResponse {
        /// When the request was sent.
        pub sent_at: Tick,
        /// Run that answered, when stated.
        pub run: Option<RunId>,
        /// State the answer stated.
        pub state: ReportedState,
        /// The permit under which the request was sent.
        pub permit: Option<PermitProof>,
    }
}

/// What one gateway knows of one target.
#[derive(Debug, Default)]
struct Proof {
    tripwire_since: Option<Tick>,
    warm_run: Option<RunId>,
    last_void: Option<Tick>,
}

/// The certificates of one gateway.
#[derive(Debug, Default)]
pub struct Certificates {
    proofs: FxHashMap<TargetName, Proof>,
}

impl Certificates {
    /// Drops what is known of targets that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&TargetName) -> bool) {
        self.proofs.retain(|target, _| exists(target));
    }

    /// Returns the run of `target` that is proved warm.
    #[must_use]
    pub fn warm_run(&self, target: &TargetName) -> Option<&RunId> {
        self.proofs.get(target)?.warm_run.as_ref()
    }

    /// Returns whether a tripwire to `target` is open.
    #[must_use]
    pub fn has_tripwire(&self, target: &TargetName) -> bool {
        self.proofs.get(target).is_some_and(|proof| proof.tripwire_since.is_some())
    }

    /// Takes in that a tripwire to `target` was opened.
    pub fn tripwire_opened(&mut self, target: &TargetName, now: Tick) {
        let proof = self.proofs.entry(target.clone()).or_default();
        proof.void(now);
        proof.tripwire_since = Some(now);
    }

    /// Takes in that the tripwire to `target` was closed; returns whether that ended a
    /// certificate.
    pub fn tripwire_closed(&mut self, target: &TargetName, now: Tick) -> bool {
        let Some(proof) = self.proofs.get_mut(target) else {
            return false;
        };
        proof.tripwire_since = None;
        proof.void(now)
    }

    /// Ends the certificate of `target`; returns whether there was one.
    pub fn void(&mut self, target: &TargetName, now: Tick) -> bool {
        self.proofs.entry(target.clone()).or_default().void(now)
    }

    /// Takes in an answer of `target`; returns whether it ended a certificate.
    pub fn answered(&mut self, target: &TargetName, answer: &TargetResponse, now: Tick) -> bool {
        let proof = self.proofs.entry(target.clone()).or_default();
        if answer.state == ReportedState::Cold {
            return proof.void(now);
        }
        if proof.warm_run.is_some() {
            return proof.warm_run != answer.run && proof.void(now);
        }
        if proof.is_proved_by(answer) {
            proof.warm_run.clone_from(&answer.run);
        }
        false
    }
}

impl Proof {
    /// Ends the certificate; returns whether there was one.
    fn void(&mut self, now: Tick) -> bool {
        self.last_void = Some(now);
        self.warm_run.take().is_some()
    }

    /// Returns whether `answer` proves its run warm.
    fn is_proved_by(&self, answer: &TargetResponse) -> bool {
        let Some(permit) = &answer.permit else {
            return false;
        };
        let Some(since) = self.tripwire_since else {
            return false;
        };
        let after_void = self.last_void.is_none_or(|void| permit.requested_at > void);
        let same_run = answer.run.is_some() && answer.run == permit.warm_run;
        answer.sent_at > since && after_void && same_run
    }
}
