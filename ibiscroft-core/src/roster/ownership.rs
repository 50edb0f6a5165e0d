//! Since when this instance has been first in the rendezvous order of each target.

use rustc_hash::{FxHashMap, FxHashSet};

use super::{InstanceRun, View};
use crate::Tick;
use crate::ids::{InstanceName, TargetName};
use crate::rendezvous::weight;

/// The targets of one instance, each with the time since which it has been their owner without
/// a break.
#[derive(Debug, Default)]
pub struct Ownership {
    targets: FxHashSet<TargetName>,
    since: FxHashMap<TargetName, Tick>,
}

impl Ownership {
    /// Returns since when this instance has been the owner of `target`.
    #[must_use]
    pub fn since(&self, target: &TargetName) -> Option<Tick> {
        self.since.get(target).copied()
    }

    /// Returns the owned targets.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, Tick)> {
        self.since.iter().map(|(target, since)| (target, *since))
    }

    /// Sets the targets that need an owner.
    pub(crate) fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetName>) {
        self.targets = targets.into_iter().collect();
        self.since.retain(|target, _| self.targets.contains(target));
    }

    /// Forgets all ownership: something may have been missed.
    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }

    /// Forgets the ownership of targets for which a changed instance goes before `own`.
    pub(crate) fn disturb(&mut self, changed: &[InstanceName], own: &InstanceName) {
        self.since.retain(|target, _| {
            let mine = rank(target, own);
            changed.iter().all(|name| rank(target, name) < mine)
        });
    }

    /// Drops targets with another owner and starts the time of new ones.
    pub(crate) fn refresh(
        &mut self,
        view: &View,
        own: &InstanceName,
        run: &InstanceRun,
        now: Tick,
    ) {
        if !view.is_registered(own, run) {
            self.since.clear();
            return;
        }
        for target in &self.targets {
            if view.owner(target) == Some(own) {
                self.since.entry(target.clone()).or_insert(now);
            } else {
                self.since.remove(target);
            }
        }
    }
}

/// Returns the place of `name` in the rendezvous order of `target`.
fn rank<'a>(target: &TargetName, name: &'a InstanceName) -> (u64, &'a str) {
    (weight(target.as_str(), name.as_str()), name.as_str())
}
