//! At-most-once execution: claims on idempotency keys, kept in pages of the store.
//!
//! Before a gateway sends an at-most-once request, it writes a claim on the request's key to the
//! store. The claims of one time slot and key shard share a page, which is written by
//! compare-and-swap. Only a confirmed write lets a gateway send the request, and while a key is
//! claimed, no second request can claim it. When the gateway that holds a claim disappears without
//! recording an outcome, the outcome becomes unknown and the request is never sent again.
//!
//! [`ClaimCoordinator`] is the state machine of one gateway. It combines the claims of a page into
//! one write and limits its writes to the gateway's share of the store's write budget.

mod coordinator;
mod event;
mod key;
mod limits;
mod operation;
mod page;
mod page_state;
mod retirement;
mod write_budget;

pub use coordinator::{ClaimCoordinator, ClaimCounters};
pub use event::{ClaimAction, ClaimEvent, ClaimId, ClaimVerdict};
pub use key::{KeyError, TimedKey};
pub use limits::ClaimLimits;
pub use page::{ClaimNonce, ClaimRecord, ClaimState, Fingerprint, Page, PageId, StoredResponse};
pub use retirement::{RETIREMENT_NOTICE, RetiredSlots, RetirementPlan, RetirementPlanner};

use crate::Tick;
use crate::{copy_data, number_newtype};

number_newtype!(
    /// Wall-clock time in milliseconds since the Unix epoch.
    UnixMillis(u64)
);

copy_data! {
    /// The monotonic clock and the wall clock of a process, read at the same instant.
    ///
    /// Deadlines use the monotonic clock. Ages of keys and claims use the wall clock, because they
    /// are compared between processes. At-most-once execution does not depend on either clock.
    pub struct ClockReading {
        /// Monotonic clock.
        pub now: Tick,
        /// Wall clock.
        pub wall: UnixMillis,
    }
}
