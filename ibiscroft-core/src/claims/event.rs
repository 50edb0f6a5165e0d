//! Events and actions of the claims of one gateway.

use super::{Fingerprint, Page, PageId, StoredResponse, TimedKey};
use crate::ids::StoreVersion;
use crate::time::Tick;
use crate::{data, number_newtype};

number_newtype!(
    /// Identifies an order among those that one gateway ever received.
    ClaimId(u64)
);

data! {
    /// What happened.
    pub enum ClaimEvent {
        /// An order arrived that must run at most once.
        Arrived {
            /// Identifies the order from now on.
            id: ClaimId,
            /// Key that the caller chose.
            key: TimedKey,
            /// Hash of what the caller sent.
            fingerprint: Fingerprint,
            /// Time at which the caller stops waiting.
            deadline: Tick,
        },
        /// The caller went away before there was a verdict.
        Cancelled {
            /// The order.
            id: ClaimId,
        },
        /// No byte of the order went out, or the backend server said that it did not run it.
        NotRun {
            /// The order.
            id: ClaimId,
        },
        /// The backend server answered.
        ResponseReceived {
            /// The order.
            id: ClaimId,
            /// The answer.
            response: StoredResponse,
        },
        /// The order went out and its answer did not arrive.
        ResponseLost {
            /// The order.
            id: ClaimId,
        },
        /// The store answered a read.
        PageRead {
            /// The page.
            page: PageId,
            /// Version, 0 when the page does not exist.
            version: StoreVersion,
            /// Content.
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
        /// The store refused a write because the page had another version.
        PageConflict {
            /// The page.
            page: PageId,
        },
        /// The answer to a write was lost or late; it may still take effect.
        PageWriteLost {
            /// The page.
            page: PageId,
        },
        /// Keys of time slots up to this one are refused from now on.
        Retired {
            /// Last retired slot.
            through: u64,
        },
        /// Time went on.
        Tick,
    }

    /// What the embedding program must do.
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
            /// Version the page must have; 0 means that it must not exist.
            expected: StoreVersion,
            /// New content.
            content: Page,
        },
        /// Act on an order.
        Decide {
            /// The order.
            id: ClaimId,
            /// What to do with it.
            verdict: ClaimVerdict,
        },
    }

    /// What to do with an order.
    pub enum ClaimVerdict {
        /// Send it, once. Exactly one of `NotSent`, `Answered` and `Lost` must follow.
        Proceed,
        /// An earlier try ran: give its answer.
        Replay(StoredResponse),
        /// An earlier try may have run.
        Unknown,
        /// An earlier try still runs.
        InProgress,
        /// The key belongs to another request; this one was not run.
        KeyReused,
        /// The key is older than claims are kept; it was not run.
        KeyExpired,
        /// The key's time lies ahead of the clock; it was not run.
        KeyAhead,
        /// The claim could not be confirmed; it was not run.
        Unavailable,
    }
}
