//! Deletion of pages that no key may use any more.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::{ClaimLimits, ClockReading};
use crate::copy_data;
use crate::time::Tick;

/// Time between the announcement that slots are retired and the deletion of their pages.
pub const RETIREMENT_NOTICE: Duration = Duration::from_mins(1);
/// Slots retired by one announcement at the most.
const MAX_SLOTS: u64 = 60;

copy_data! {
    /// Which time slots are retired; kept in the store and watched by every gateway.
    pub struct RetiredSlots {
        /// Last slot whose keys are refused as expired.
        pub through: u64,
        /// Last slot whose pages are deleted.
        pub deleted: u64,
    }
}

/// What to do about retired slots; the new record is written after the deletions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetirementPlan {
    /// Slots whose pages are to be deleted.
    pub delete: RangeInclusive<u64>,
    /// Record to write in place of the one found.
    pub next: RetiredSlots,
}

/// Plans the deletion of pages in two steps.
///
/// Slots are announced first and deleted only after every gateway had time to hear of it, so
/// that a gateway whose clock runs ahead makes keys expire early but never forgets a claim.
#[derive(Clone, Debug, Default)]
pub struct RetirementPlanner {
    seen: Option<(RetiredSlots, Tick)>,
}

impl RetirementPlanner {
    /// Returns what to do, given the record found in the store; `None` when it is too early.
    pub fn plan(
        &mut self,
        found: Option<RetiredSlots>,
        at: ClockReading,
        limits: &ClaimLimits,
    ) -> Option<RetirementPlan> {
        let unneeded = limits.last_slot_past_retention(at.wall);
        let Some(found) = found else {
            let next = RetiredSlots { through: unneeded, deleted: unneeded };
            return Some(RetirementPlan { delete: empty(), next });
        };
        if !self.was_announced(found, at.now) || unneeded <= found.deleted {
            return None;
        }
        let through = unneeded.min(found.through + MAX_SLOTS).max(found.through);
        let next = RetiredSlots { through, deleted: found.through };
        (next != found).then(|| RetirementPlan { delete: found.deleted + 1..=found.through, next })
    }

    /// Returns whether the record was seen unchanged for the whole notice.
    fn was_announced(&mut self, found: RetiredSlots, now: Tick) -> bool {
        match self.seen {
            Some((seen, since)) if seen == found => now.since(since) >= RETIREMENT_NOTICE,
            _ => {
                self.seen = Some((found, now));
                false
            }
        }
    }
}

/// Returns a range without slots.
const fn empty() -> RangeInclusive<u64> {
    RangeInclusive::new(1, 0)
}
