//! Certificates that the current run of a target is warm.
//!
//! A certificate is bound to a liveness connection: an idle connection to the target, which closes
//! when the target's process ends. A certificate requires that
//!
//! - the liveness connection is open,
//! - the lease holder reported a run as warm with a permit, and
//! - that same run responded to a request sent after the liveness connection was opened.
//!
//! A backend server runs one process at a time, so the liveness connection then belongs to that
//! run.

use rustc_hash::FxHashMap;

use super::ReportedState;
use crate::ids::{RunId, TargetName};
use crate::{Tick, data};

data! {
    /// The part of a permit that can prove a run to be warm.
    pub struct PermitProof {
        /// When the permit was requested.
        pub requested_at: Tick,
        /// Run that the lease holder considers warm, if any.
        pub warm_run: Option<RunId>,
    }

    /// The part of a target's response that concerns cold start.
    pub struct TargetResponse {
        /// When the request was sent.
        pub sent_at: Tick,
        /// Run that responded, if stated.
        pub run: Option<RunId>,
        /// State that the response reports.
        pub state: ReportedState,
        /// Permit under which the request was sent, if any.
        pub permit: Option<PermitProof>,
    }
}

/// Evidence of one gateway about one target.
#[derive(Debug, Default)]
struct TargetProof {
    /// When the liveness connection was opened; `None` while it is closed.
    connected_since: Option<Tick>,
    /// The certificate: the run that is proved to be warm.
    warm_run: Option<RunId>,
    last_revoked_at: Option<Tick>,
}

/// Certificates of one gateway for all targets.
#[derive(Debug, Default)]
pub struct Certificates {
    proofs: FxHashMap<TargetName, TargetProof>,
}

impl Certificates {
    /// Removes the certificates of targets that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&TargetName) -> bool) {
        self.proofs.retain(|target, _| exists(target));
    }

    /// Returns the run of `target` that is certified as warm.
    #[must_use]
    pub fn warm_run(&self, target: &TargetName) -> Option<&RunId> {
        self.proofs.get(target)?.warm_run.as_ref()
    }

    /// Returns whether the liveness connection to `target` is open.
    #[must_use]
    pub fn has_liveness_connection(&self, target: &TargetName) -> bool {
        self.proofs.get(target).is_some_and(|proof| proof.connected_since.is_some())
    }

    /// Handles the opening of a liveness connection to `target`; a certificate of an earlier
    /// connection is revoked.
    pub fn on_liveness_connection_opened(&mut self, target: &TargetName, now: Tick) {
        let proof = self.proofs.entry(target.clone()).or_default();
        proof.revoke(now);
        proof.connected_since = Some(now);
    }

    /// Handles the end of the liveness connection to `target`; returns whether a certificate was
    /// revoked.
    pub fn on_liveness_connection_closed(&mut self, target: &TargetName, now: Tick) -> bool {
        let Some(proof) = self.proofs.get_mut(target) else {
            return false;
        };
        proof.connected_since = None;
        proof.revoke(now)
    }

    /// Revokes the certificate of `target`; returns whether there was one.
    pub fn revoke(&mut self, target: &TargetName, now: Tick) -> bool {
        self.proofs.entry(target.clone()).or_default().revoke(now)
    }

    /// Handles a response of `target`, which may prove its run warm; returns whether a certificate
    /// was revoked.
    pub fn on_response(
        &mut self,
        target: &TargetName,
        response: &TargetResponse,
        now: Tick,
    ) -> bool {
        let proof = self.proofs.entry(target.clone()).or_default();
        if response.state == ReportedState::Cold {
            return proof.revoke(now);
        }
        if proof.warm_run.is_some() {
            return proof.warm_run != response.run && proof.revoke(now);
        }
        if proof.is_proved_by(response) {
            proof.warm_run.clone_from(&response.run);
        }
        false
    }
}

impl TargetProof {
    /// Revokes the certificate; returns whether there was one.
    fn revoke(&mut self, now: Tick) -> bool {
        self.last_revoked_at = Some(now);
        self.warm_run.take().is_some()
    }

    /// Returns whether `response` proves its run warm.
    fn is_proved_by(&self, response: &TargetResponse) -> bool {
        let Some(permit) = &response.permit else {
            return false;
        };
        let Some(since) = self.connected_since else {
            return false;
        };
        let is_after_revocation =
            self.last_revoked_at.is_none_or(|revoked_at| permit.requested_at > revoked_at);
        let is_same_run = response.run.is_some() && response.run == permit.warm_run;
        response.sent_at > since && is_after_revocation && is_same_run
    }
}
