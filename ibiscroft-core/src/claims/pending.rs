//! Operations on a page that wait for a confirmed write.

use super::event::{ClaimId, ClaimVerdict};
use super::{
    ClaimLimits, ClaimNonce, ClaimRecord, ClaimState, Fingerprint, Page, StoredResponse, UnixMillis,
};
use crate::data;
use crate::ids::IdempotencyKey;
use crate::time::Tick;

data! {
    /// One try of an order: what its record in a page identifies.
    pub(crate) struct Try {
        pub(crate) key: IdempotencyKey,
        pub(crate) fingerprint: Fingerprint,
        pub(crate) nonce: ClaimNonce,
        pub(crate) expires_at: UnixMillis,
    }

    /// What an operation wants of the page.
    pub(crate) enum Want {
        /// Claim the key, or learn the outcome of the try that holds it.
        Claim(ClaimWait),
        /// Record the outcome.
        Settle(ClaimState),
        /// Remove the claim of an order that was not sent for certain.
        Release,
    }

    /// How long a claim waits.
    pub(crate) struct ClaimWait {
        /// Time at which the wait ends.
        pub(crate) give_up_at: Tick,
        /// Time at which the caller stops waiting.
        pub(crate) deadline: Tick,
        /// Whether another try holds the key.
        pub(crate) behind_other_try: bool,
    }

    /// An operation that waits for a confirmed write.
    pub(crate) struct Pending {
        pub(crate) id: ClaimId,
        pub(crate) attempt: Try,
        pub(crate) want: Want,
        /// Time from which the operation causes store calls by itself.
        pub(crate) due: Tick,
        /// Whether a write that holds the claim may still take effect.
        pub(crate) uncertain: bool,
    }

    /// What the content of a page means for an operation.
    pub(crate) enum Resolution {
        /// The operation ends with this verdict; the page already says so.
        Answer(ClaimVerdict),
        /// The operation has nothing left to do.
        Done,
        /// The page must be written; the verdict holds when the write is confirmed.
        Staged(Option<ClaimVerdict>),
        /// Another try holds the key.
        Waiting,
    }
}

impl Pending {
    /// Compares the operation with the confirmed page and stages its change.
    pub(crate) fn resolve(
        &self,
        confirmed: &Page,
        staged: &mut Page,
        wall: UnixMillis,
        limits: &ClaimLimits,
    ) -> Resolution {
        match &self.want {
            Want::Claim(_) => self.resolve_claim(confirmed, staged, wall, limits),
            Want::Settle(state) => self.attempt.settle(state, staged, limits),
            Want::Release => self.release(staged),
        }
    }

    /// Returns whether the operation waits for the outcome of another try.
    pub(crate) fn is_behind_other_try(&self) -> bool {
        matches!(&self.want, Want::Claim(wait) if wait.behind_other_try)
    }

    /// Notes that another try holds the key; the wait for its outcome starts with the first note.
    pub(crate) fn wait_for_other_try(&mut self, now: Tick, limits: &ClaimLimits) {
        self.due = now + limits.poll_interval;
        let Want::Claim(wait) = &mut self.want else {
            return;
        };
        if wait.behind_other_try {
            return;
        }
        wait.behind_other_try = true;
        wait.give_up_at = wait.deadline.min(now + limits.outcome_wait);
    }

    /// Notes that no other try holds the key any more.
    pub(crate) fn stop_waiting(&mut self, now: Tick, limits: &ClaimLimits) {
        let Want::Claim(wait) = &mut self.want else {
            return;
        };
        if !wait.behind_other_try {
            return;
        }
        wait.behind_other_try = false;
        wait.give_up_at = wait.deadline.min(now + limits.claim_wait);
    }

    fn resolve_claim(
        &self,
        confirmed: &Page,
        staged: &mut Page,
        wall: UnixMillis,
        limits: &ClaimLimits,
    ) -> Resolution {
        let Some(found) = confirmed.find(&self.attempt.key) else {
            return self.attempt.stage_claim(staged, limits);
        };
        if found.nonce == self.attempt.nonce {
            return match found.state {
                ClaimState::Claimed => Resolution::Answer(ClaimVerdict::Proceed),
                ClaimState::Finished(_) | ClaimState::Unknown => {
                    Resolution::Answer(ClaimVerdict::Unavailable)
                }
            };
        }
        if found.fingerprint != self.attempt.fingerprint {
            return Resolution::Answer(ClaimVerdict::KeyReused);
        }
        match &found.state {
            ClaimState::Finished(answer) => {
                Resolution::Answer(ClaimVerdict::Replay(answer.clone()))
            }
            ClaimState::Unknown => Resolution::Answer(ClaimVerdict::Unknown),
            ClaimState::Claimed if wall < found.expires_at => Resolution::Waiting,
            ClaimState::Claimed => mark_unknown(found, staged),
        }
    }

    fn release(&self, staged: &mut Page) -> Resolution {
        let removed = staged.release(&self.attempt.key, self.attempt.nonce);
        if removed || self.uncertain { Resolution::Staged(None) } else { Resolution::Done }
    }
}

impl Try {
    fn stage_claim(&self, staged: &mut Page, limits: &ClaimLimits) -> Resolution {
        if staged.find(&self.key).is_some() {
            return Resolution::Waiting;
        }
        let record = self.record(ClaimState::Claimed);
        if staged.encoded_bytes() + record.encoded_bytes() > limits.max_page_bytes {
            return Resolution::Answer(ClaimVerdict::Unavailable);
        }
        staged.records.push(record);
        Resolution::Staged(Some(ClaimVerdict::Proceed))
    }

    /// Records `state`; a record that the store lost is written again.
    fn settle(&self, state: &ClaimState, staged: &mut Page, limits: &ClaimLimits) -> Resolution {
        let state = bounded(state, staged, limits);
        let Some(found) = staged.find_mut(&self.key) else {
            staged.records.push(self.record(state));
            return Resolution::Staged(None);
        };
        if found.nonce != self.nonce || found.state == state {
            return Resolution::Done;
        }
        found.state = state;
        Resolution::Staged(None)
    }

    fn record(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            nonce: self.nonce,
            expires_at: self.expires_at,
            state,
        }
    }
}

/// Marks the claim of a holder that is gone.
fn mark_unknown(found: &ClaimRecord, staged: &mut Page) -> Resolution {
    let Some(record) = staged.find_mut(&found.key) else {
        return Resolution::Waiting;
    };
    if record.nonce != found.nonce || matches!(record.state, ClaimState::Finished(_)) {
        return Resolution::Waiting;
    }
    record.state = ClaimState::Unknown;
    Resolution::Staged(Some(ClaimVerdict::Unknown))
}

/// Returns `state` without the body of its answer when the page has no room for it.
fn bounded(state: &ClaimState, page: &Page, limits: &ClaimLimits) -> ClaimState {
    let ClaimState::Finished(answer) = state else {
        return state.clone();
    };
    let has_room =
        page.encoded_bytes() + answer.encoded_bytes() <= limits.max_page_bytes_for_bodies;
    let limit = if has_room { limits.max_stored_body_bytes } else { 0 };
    let kept: StoredResponse = answer.clone().with_body_up_to(limit);
    ClaimState::Finished(kept)
}
