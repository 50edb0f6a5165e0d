//! Operations on a page: claims, outcomes and releases that wait for a store call.

use super::event::{ClaimId, ClaimVerdict};
use super::{
    ClaimLimits, ClaimNonce, ClaimRecord, ClaimState, Fingerprint, Page, StoredResponse, UnixMillis,
};
use crate::data;
use crate::ids::IdempotencyKey;
use crate::time::Tick;

data! {
    /// The claim of one request, without the outcome that its record also contains.
    pub(crate) struct Claim {
        pub(crate) key: IdempotencyKey,
        pub(crate) fingerprint: Fingerprint,
        pub(crate) nonce: ClaimNonce,
        pub(crate) expires_at: UnixMillis,
    }

    /// Change that an operation makes to its page.
    pub(crate) enum Change {
        /// Claim the key, or wait for the outcome of the request that holds it.
        Claim(ClaimWait),
        /// Record the outcome of the request.
        RecordOutcome(ClaimState),
        /// Remove the claim of a request that certainly did not run.
        Release,
    }

    /// Waiting time of a claim.
    pub(crate) struct ClaimWait {
        /// Time at which the request is refused if there is no verdict yet.
        pub(crate) wait_until: Tick,
        /// Time at which the caller stops waiting.
        pub(crate) deadline: Tick,
        /// Whether another request holds the key.
        pub(crate) is_blocked: bool,
    }

    /// An operation that waits for a read or a confirmed write of its page.
    pub(crate) struct Operation {
        pub(crate) id: ClaimId,
        pub(crate) claim: Claim,
        pub(crate) change: Change,
        /// Time from which the operation triggers a store call; an earlier call for the page
        /// includes it too.
        pub(crate) due: Tick,
        /// Whether a write with this operation's change was lost and may still take effect.
        pub(crate) has_uncertain_write: bool,
    }

    /// Result of applying an operation to the content of its page.
    pub(crate) enum Resolution {
        /// The operation ends with this verdict, without a write.
        Decided(ClaimVerdict),
        /// The operation ends without a verdict; the page needs no change.
        Done,
        /// The page must be written; the verdict is valid once the write is confirmed.
        Staged(Option<ClaimVerdict>),
        /// Another request holds the key.
        Blocked,
    }
}

impl Operation {
    /// Compares the operation with the `confirmed` content of the page and applies its change to
    /// `staged`, the content to write next.
    pub(crate) fn resolve(
        &self,
        confirmed: &Page,
        staged: &mut Page,
        wall: UnixMillis,
        limits: &ClaimLimits,
    ) -> Resolution {
        match &self.change {
            Change::Claim(_) => self.resolve_claim(confirmed, staged, wall, limits),
            Change::RecordOutcome(state) => self.claim.record_outcome(state, staged, limits),
            Change::Release => self.release(staged),
        }
    }

    /// Returns whether the operation waits for the outcome of another request.
    pub(crate) fn is_blocked(&self) -> bool {
        matches!(&self.change, Change::Claim(wait) if wait.is_blocked)
    }

    /// Marks the key as held by another request and schedules the next read of the page.
    ///
    /// The wait for the other request's outcome starts with the first call.
    pub(crate) fn block(&mut self, now: Tick, limits: &ClaimLimits) {
        self.due = now + limits.poll_interval;
        let Change::Claim(wait) = &mut self.change else {
            return;
        };
        if wait.is_blocked {
            return;
        }
        wait.is_blocked = true;
        wait.wait_until = wait.deadline.min(now + limits.outcome_timeout);
    }

    /// Marks the key as no longer held by another request.
    pub(crate) fn unblock(&mut self, now: Tick, limits: &ClaimLimits) {
        let Change::Claim(wait) = &mut self.change else {
            return;
        };
        if !wait.is_blocked {
            return;
        }
        wait.is_blocked = false;
        wait.wait_until = wait.deadline.min(now + limits.claim_timeout);
    }

    fn resolve_claim(
        &self,
        confirmed: &Page,
        staged: &mut Page,
        wall: UnixMillis,
        limits: &ClaimLimits,
    ) -> Resolution {
        let Some(record) = confirmed.find(&self.claim.key) else {
            return self.claim.stage_claim(staged, limits);
        };
        // An earlier write of this claim took effect although its response was lost.
        if record.nonce == self.claim.nonce {
            return match record.state {
                ClaimState::Claimed => Resolution::Decided(ClaimVerdict::Proceed),
                ClaimState::Finished(_) | ClaimState::Unknown => {
                    Resolution::Decided(ClaimVerdict::Unavailable)
                }
            };
        }
        if record.fingerprint != self.claim.fingerprint {
            return Resolution::Decided(ClaimVerdict::KeyReused);
        }
        match &record.state {
            ClaimState::Finished(response) => {
                Resolution::Decided(ClaimVerdict::Replay(response.clone()))
            }
            ClaimState::Unknown => Resolution::Decided(ClaimVerdict::Unknown),
            ClaimState::Claimed if wall < record.expires_at => Resolution::Blocked,
            ClaimState::Claimed => mark_unknown(record, staged),
        }
    }

    /// Removes the claim.
    ///
    /// While a lost write of the claim may still take effect, the page is written even if the claim
    /// is not in it: the new version of the page makes the lost write fail.
    fn release(&self, staged: &mut Page) -> Resolution {
        let removed = staged.release(&self.claim.key, self.claim.nonce);
        if removed || self.has_uncertain_write {
            Resolution::Staged(None)
        } else {
            Resolution::Done
        }
    }
}

impl Claim {
    /// Adds the claim unless another operation of the same write claimed the key or the page is
    /// full.
    fn stage_claim(&self, staged: &mut Page, limits: &ClaimLimits) -> Resolution {
        if staged.find(&self.key).is_some() {
            return Resolution::Blocked;
        }
        let record = self.to_record(ClaimState::Claimed);
        if staged.encoded_bytes() + record.encoded_bytes() > limits.max_page_bytes {
            return Resolution::Decided(ClaimVerdict::Unavailable);
        }
        staged.records.push(record);
        Resolution::Staged(Some(ClaimVerdict::Proceed))
    }

    /// Records the outcome `state`; a record that the store lost is written again.
    fn record_outcome(
        &self,
        state: &ClaimState,
        staged: &mut Page,
        limits: &ClaimLimits,
    ) -> Resolution {
        let state = within_page_limits(state, staged, limits);
        let Some(record) = staged.find_mut(&self.key) else {
            staged.records.push(self.to_record(state));
            return Resolution::Staged(None);
        };
        if record.nonce != self.nonce || record.state == state {
            return Resolution::Done;
        }
        record.state = state;
        Resolution::Staged(None)
    }

    fn to_record(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            nonce: self.nonce,
            expires_at: self.expires_at,
            state,
        }
    }
}

/// Marks an expired claim as unknown: its gateway disappeared before it recorded an outcome.
///
/// The operation stays blocked if another operation of the same write changed the record.
fn mark_unknown(confirmed: &ClaimRecord, staged: &mut Page) -> Resolution {
    let Some(staged_record) = staged.find_mut(&confirmed.key) else {
        return Resolution::Blocked;
    };
    if staged_record.nonce != confirmed.nonce
        || matches!(staged_record.state, ClaimState::Finished(_))
    {
        return Resolution::Blocked;
    }
    staged_record.state = ClaimState::Unknown;
    Resolution::Staged(Some(ClaimVerdict::Unknown))
}

/// Returns `state`, without the response body if that is too large for the page.
fn within_page_limits(state: &ClaimState, page: &Page, limits: &ClaimLimits) -> ClaimState {
    let ClaimState::Finished(response) = state else {
        return state.clone();
    };
    let fits_with_body =
        page.encoded_bytes() + response.encoded_bytes() <= limits.max_page_bytes_for_bodies;
    let limit = if fits_with_body { limits.max_stored_body_bytes } else { 0 };
    let response: StoredResponse = response.clone().with_body_up_to(limit);
    ClaimState::Finished(response)
}
