//! The registered instances as the store last told them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{InstanceRun, Member};
use crate::ids::{InstanceName, StoreVersion, TargetName};
use crate::rendezvous;
use crate::{Tick, data};

data! {
    /// One registration that was written or ended.
    pub struct Change {
        /// Instance.
        pub name: InstanceName,
        /// The registration, or `None` when it ended.
        pub member: Option<Member>,
    }

    /// An answer of the store to a list or watch of the roster.
    pub struct RosterUpdate {
        /// When the call was sent.
        pub sent_at: Tick,
        /// Revision up to which the answer is complete.
        pub revision: StoreVersion,
        /// Whether the answer lists every member instead of changes.
        pub is_full: bool,
        /// Registrations, or changes since the last observation.
        pub changes: Vec<Change>,
    }
}

/// The roster as of the last answer of the store.
#[derive(Debug, Default)]
pub struct View {
    members: BTreeMap<InstanceName, Member>,
    revision: StoreVersion,
    confirmed_at: Option<Tick>,
}

impl View {
    /// Returns the registered instances in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = (&InstanceName, &Member)> {
        self.members.iter()
    }

    /// Returns the revision of the view.
    #[must_use]
    pub const fn revision(&self) -> StoreVersion {
        self.revision
    }

    /// Returns when the call was sent that confirmed the view last.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Tick> {
        self.confirmed_at
    }

    /// Returns whether the view was confirmed less than `limit` ago.
    #[must_use]
    pub fn is_valid(&self, now: Tick, limit: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + limit)
    }

    /// Returns whether `name` is registered by its run `run`.
    #[must_use]
    pub fn is_registered(&self, name: &InstanceName, run: &InstanceRun) -> bool {
        self.members.get(name).is_some_and(|member| member.run == *run)
    }

    /// Returns the member that is first in the rendezvous order of `target`.
    #[must_use]
    pub fn owner(&self, target: &TargetName) -> Option<&InstanceName> {
        let names = self.members.keys().map(InstanceName::as_str);
        let owner = rendezvous::owner(target.as_str(), names)?;
        self.members.keys().find(|name| name.as_str() == owner)
    }

    /// Takes in an answer of the store; returns the instances whose registration changed.
    ///
    /// An instance that came and went between two answers counts as changed.
    pub(crate) fn apply(&mut self, update: &RosterUpdate) -> Vec<InstanceName> {
        self.confirmed_at = Some(update.sent_at);
        self.revision = update.revision;
        if update.is_full {
            return self.replace(update);
        }
        let mut changed = Vec::new();
        for change in &update.changes {
            if change.member.is_some() && self.members.get(&change.name) == change.member.as_ref() {
                continue;
            }
            self.set(change);
            changed.push(change.name.clone());
        }
        changed
    }

    /// Takes in a complete list.
    fn replace(&mut self, update: &RosterUpdate) -> Vec<InstanceName> {
        let before = std::mem::take(&mut self.members);
        for change in &update.changes {
            self.set(change);
        }
        let mut changed = Vec::new();
        for name in before.keys().chain(self.members.keys()) {
            if before.get(name) != self.members.get(name) && !changed.contains(name) {
                changed.push(name.clone());
            }
        }
        changed
    }

    /// Sets or removes one registration.
    fn set(&mut self, change: &Change) {
        match &change.member {
            Some(member) => self.members.insert(change.name.clone(), member.clone()),
            None => self.members.remove(&change.name),
        };
    }
}
