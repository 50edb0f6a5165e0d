//! Targets whose registration has ended, in case the store returns from an older copy.

use std::collections::BTreeMap;

use super::change::Era;
use super::target::{Incarnation, Target};
use crate::Tick;
use crate::ids::TargetName;

/// Maximum number of targets kept; above the number of targets in the largest fleet.
const MAX_TARGETS: usize = 1_024;

/// Last registration of a target before it ended.
#[derive(Clone, Copy, Debug)]
struct Entry {
    era: Era,
    incarnation: Incarnation,
    sequence: u64,
    /// Whether the end was read from the store, and not concluded from the end of a grace period.
    is_read: bool,
    ended_at: Tick,
}

/// Targets whose registration has ended, with the last one known of each.
///
/// Within an era the store's word on a target is always the latest. A copy from which the store
/// returns may list a registration that had already ended; such a target may have left for good.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedTargets {
    entries: BTreeMap<TargetName, Entry>,
}

impl DepartedTargets {
    /// Records that the registration of `target` ended in `era`: `is_read` says whether the store
    /// showed its end, or a grace period ended without a renewal. Forgets the target whose
    /// registration ended first if there are too many.
    pub(super) fn note(&mut self, now: Tick, era: Era, target: &Target, is_read: bool) {
        let Target { name, incarnation, sequence, .. } = target;
        let (incarnation, sequence) = (*incarnation, *sequence);
        let entry = Entry { era, incarnation, sequence, is_read, ended_at: now };
        self.entries.insert(name.clone(), entry);
        if self.entries.len() > MAX_TARGETS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.ended_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.entries.remove(&name);
            }
        }
    }

    /// Forgets a target that is registered again.
    pub(super) fn remove(&mut self, name: &TargetName) {
        self.entries.remove(name);
    }

    /// Returns whether a registration in a listing of `era` is older than the last one known, or may
    /// be that one although its end was read in an earlier era.
    pub(super) fn is_outdated_listing(&self, era: Era, target: &Target) -> bool {
        self.entries.get(&target.name).is_some_and(|entry| {
            let ended = (entry.incarnation, entry.sequence);
            let listed = (target.incarnation, target.sequence);
            entry.era < era && (listed < ended || (entry.is_read && listed == ended))
        })
    }
}
