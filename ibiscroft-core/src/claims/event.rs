//! Events and actions of [`ClaimCoordinator`](super::ClaimCoordinator).

use super::{Fingerprint, Page, PageId, StoredResponse, TimedKey};
use crate::ids::StoreVersion;
use crate::time::Tick;
use crate::{data, number_newtype};

number_newtype!(
    /// Identifies an at-most-once request and its claim; unique within one run of a gateway.
    ClaimId(u64)
);

data! {
    /// Input of the state machine: an event of a request, of a store call or of time.
    pub enum ClaimEvent {
        /// An at-most-once request arrived.
        Arrived {
            /// Identifies the request in all later events and actions.
            id: ClaimId,
            /// Idempotency key that the caller chose.
            key: TimedKey,
            /// Hash of the request.
            fingerprint: Fingerprint,
            /// Time at which the caller stops waiting.
            deadline: Tick,
        },
        /// The caller disconnected before the verdict.
        Cancelled {
            /// The request.
            id: ClaimId,
        },
        /// The request did not run: nothing of it was sent, or the backend server refused it.
        NotRun {
            /// The request.
            id: ClaimId,
        },
        /// The backend server responded.
        ResponseReceived {
            /// The request.
            id: ClaimId,
            /// The response.
            response: StoredResponse,
        },
        /// The request was sent, but no response arrived.
        ResponseLost {
            /// The request.
            id: ClaimId,
        },
        /// A page was read.
        PageRead {
            /// The page.
            page: PageId,
            /// Version of the page; 0 when the page does not exist.
            version: StoreVersion,
            /// Content; empty when the page does not exist.
            content: Page,
        },
        /// A read failed or timed out.
        PageReadFailed {
            /// The page.
            page: PageId,
        },
        /// The store confirmed a write.
        PageWritten {
            /// The page.
            page: PageId,
            /// Version after the write.
            version: StoreVersion,
        },
        /// The store rejected a write because the page had another version.
        PageConflict {
            /// The page.
            page: PageId,
        },
        /// A write failed or timed out with unknown result; it may still take effect later.
        PageWriteLost {
            /// The page.
            page: PageId,
        },
        /// Keys of time slots up to and including `through` are refused from now on.
        Retired {
            /// Last retired slot.
            through: u64,
        },
        /// Time passed; needed at a regular interval unless the coordinator is idle.
        Tick,
    }

    /// Output of the state machine: what the embedding program must do.
    pub enum ClaimAction {
        /// Read a page. Exactly one of `PageRead` and `PageReadFailed` must follow.
        ReadPage {
            /// The page.
            page: PageId,
        },
        /// Write a page if it has the expected version. Exactly one of `PageWritten`,
        /// `PageConflict` and `PageWriteLost` must follow.
        WritePage {
            /// The page.
            page: PageId,
            /// Version that the page must have; 0 means that it must not exist.
            expected: StoreVersion,
            /// New content.
            content: Page,
        },
        /// Carry out the verdict on a request.
        Decide {
            /// The request.
            id: ClaimId,
            /// What to do with the request.
            verdict: ClaimVerdict,
        },
    }

    /// What to do with an at-most-once request.
    ///
    /// "Earlier request" means another request with the same key, usually the caller's previous
    /// submission.
    pub enum ClaimVerdict {
        /// The claim is confirmed: send the request, once. Exactly one of `NotRun`,
        /// `ResponseReceived` and `ResponseLost` must follow.
        Proceed,
        /// An earlier request ran: reply with its stored response.
        Replay(StoredResponse),
        /// An earlier request may have run; its outcome is unknown.
        Unknown,
        /// An earlier request is still in progress.
        InProgress,
        /// The key belongs to a different request; this one did not run.
        KeyReused,
        /// The key is older than claims are kept, or its time slot is retired; the request did not
        /// run.
        KeyExpired,
        /// The time in the key is too far in the future; the request did not run.
        KeyAhead,
        /// The claim could not be made: it was not confirmed in time, too many claims are open or
        /// the page is full. The request did not run.
        Unavailable,
    }
}
