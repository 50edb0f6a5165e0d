//! Since when this instance has ranked first in the rendezvous order of each target.

use rustc_hash::{FxHashMap, FxHashSet};

use super::{InstanceRun, View};
use crate::Tick;
use crate::ids::{InstanceName, TargetName};
use crate::rendezvous::weight;

/// The targets that this instance owns, each with the time since which it has owned it without
/// interruption.
#[derive(Debug, Default)]
pub struct OwnedTargets {
    targets: FxHashSet<TargetName>,
    owned_since: FxHashMap<TargetName, Tick>,
}

impl OwnedTargets {
    /// Returns since when this instance has owned `target`, or `None` if it does not.
    #[must_use]
    pub fn owned_since(&self, target: &TargetName) -> Option<Tick> {
        self.owned_since.get(target).copied()
    }

    /// Returns the owned targets, each with the time since which it is owned.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, Tick)> {
        self.owned_since.iter().map(|(target, owned_since)| (target, *owned_since))
    }

    /// Sets the targets that need an owner.
    pub(crate) fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetName>) {
        self.targets = targets.into_iter().collect();
        self.owned_since.retain(|target, _| self.targets.contains(target));
    }

    /// Removes all owned targets, because changes of the roster may have been missed.
    pub(crate) fn clear(&mut self) {
        self.owned_since.clear();
    }

    /// Removes the targets for which a changed instance ranks higher than `own`.
    pub(crate) fn remove_outranked(&mut self, changed: &[InstanceName], own: &InstanceName) {
        self.owned_since.retain(|target, _| {
            let own_rank = rank(target, own);
            changed.iter().all(|name| rank(target, name) < own_rank)
        });
    }

    /// Removes the targets that have another owner in `view`, and adds those that this instance
    /// owns since `now`.
    pub(crate) fn recompute(
        &mut self,
        view: &View,
        own: &InstanceName,
        run: &InstanceRun,
        now: Tick,
    ) {
        if !view.is_registered(own, run) {
            self.owned_since.clear();
            return;
        }
        for target in &self.targets {
            if view.owner(target) == Some(own) {
                self.owned_since.entry(target.clone()).or_insert(now);
            } else {
                self.owned_since.remove(target);
            }
        }
    }
}

/// Returns the rank of `name` in the rendezvous order of `target`; a greater value ranks higher.
fn rank<'a>(target: &TargetName, name: &'a InstanceName) -> (u64, &'a str) {
    (weight(target.as_str(), name.as_str()), name.as_str())
}
