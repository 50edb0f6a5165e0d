//! At-most-once execution: claims kept in pages of the store.
//!
//! A request that must run at most once is claimed in the store before a byte of it is sent.
//! Claims live in pages, one for each time slot and key shard, and each page is written by
//! compare-and-swap. That write is the fence: a claim that it did not confirm is never acted on,
//! and a claimed key is never handed to a second holder. A claim whose holder is gone becomes
//! unknown and stays so.
//!
//! [`ClaimCoordinator`] is the state machine of one gateway. It batches the claims of a page into one
//! write and keeps its writes within a share of the store's budget.

mod coordinator;
mod event;
mod key;
mod limits;
mod page;
mod page_slot;
mod pending;
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
    /// One instant on both clocks of a process.
    ///
    /// Deadlines use the monotonic clock; ages of keys and claims use the wall clock, because
    /// they are compared between processes. Safety rests on neither.
    pub struct ClockReading {
        /// Monotonic clock.
        pub now: Tick,
        /// Wall clock.
        pub wall: UnixMillis,
    }
}
