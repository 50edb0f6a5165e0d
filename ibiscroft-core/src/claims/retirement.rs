//! Deletion of the pages of time slots whose keys have expired.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::{ClaimLimits, ClockReading};
use crate::copy_data;
use crate::time::Tick;

/// Time between the announcement that time slots are retired and the deletion of their pages.
pub const RETIREMENT_NOTICE: Duration = Duration::from_mins(1);
/// Largest number of slots that one announcement retires.
const MAX_SLOTS_PER_ANNOUNCEMENT: u64 = 60;

copy_data! {
    /// Retired time slots; a record in the store that every gateway watches.
    pub struct RetiredSlots {
        /// Last slot whose keys are refused as expired.
        pub through: u64,
        /// Last slot whose pages are deleted.
        pub deleted: u64,
    }
}

/// Pages to delete and the record to write after their deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetirementPlan {
    /// Slots whose pages are deleted; may be empty.
    pub delete: RangeInclusive<u64>,
    /// Record that replaces the stored one.
    pub next: RetiredSlots,
}

/// Plans the deletion of pages in two steps.
///
/// Slots are first announced as retired, so that all gateways refuse their keys, and their pages
/// are deleted after [`RETIREMENT_NOTICE`], which gives every gateway time to receive the
/// announcement. A gateway whose clock is ahead can therefore make keys expire early, but never
/// delete a claim whose key another gateway still accepts.
#[derive(Clone, Debug, Default)]
pub struct RetirementPlanner {
    last_seen: Option<(RetiredSlots, Tick)>,
}

impl RetirementPlanner {
    /// Returns what to delete and write, given the record in the store.
    ///
    /// Returns `None` when no slot is due, or until the stored record has stayed unchanged for
    /// [`RETIREMENT_NOTICE`].
    pub fn plan(
        &mut self,
        stored: Option<RetiredSlots>,
        at: ClockReading,
        limits: &ClaimLimits,
    ) -> Option<RetirementPlan> {
        let deletable_through = limits.last_slot_past_retention(at.wall);
        let Some(stored) = stored else {
            let next = RetiredSlots { through: deletable_through, deleted: deletable_through };
            return Some(RetirementPlan { delete: no_slots(), next });
        };
        if !self.is_notice_over(stored, at.now) || deletable_through <= stored.deleted {
            return None;
        }
        let through =
            deletable_through.min(stored.through + MAX_SLOTS_PER_ANNOUNCEMENT).max(stored.through);
        let next = RetiredSlots { through, deleted: stored.through };
        (next != stored)
            .then(|| RetirementPlan { delete: stored.deleted + 1..=stored.through, next })
    }

    /// Returns whether all calls since at least [`RETIREMENT_NOTICE`] ago saw the same record.
    fn is_notice_over(&mut self, stored: RetiredSlots, now: Tick) -> bool {
        match self.last_seen {
            Some((last_seen, since)) if last_seen == stored => {
                now.since(since) >= RETIREMENT_NOTICE
            }
            _ => {
                self.last_seen = Some((stored, now));
                false
            }
        }
    }
}

/// Returns an empty range.
const fn no_slots() -> RangeInclusive<u64> {
    RangeInclusive::new(1, 0)
}
