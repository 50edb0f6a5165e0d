//! The registered instances according to the last response of the store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{InstanceRun, Member};
use crate::ids::{InstanceName, StoreVersion, TargetName};
use crate::rendezvous;
use crate::{Tick, data};

data! {
    /// The change of one registration.
    pub struct Change {
        /// Name of the instance.
        pub name: InstanceName,
        /// New registration, or `None` if it was removed.
        pub member: Option<Member>,
    }

    /// A response of the store to a list or watch of the roster.
    pub struct RosterUpdate {
        /// When the call was sent.
        pub sent_at: Tick,
        /// Revision of the store up to which the response is complete.
        pub revision: StoreVersion,
        /// Whether the response lists all members instead of changes.
        pub is_full: bool,
        /// All registrations, or the changes since the last update.
        pub changes: Vec<Change>,
    }
}

/// The roster according to the last response of the store.
#[derive(Debug, Default)]
pub struct View {
    members: BTreeMap<InstanceName, Member>,
    revision: StoreVersion,
    confirmed_at: Option<Tick>,
}

impl View {
    /// Returns the registered instances, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = (&InstanceName, &Member)> {
        self.members.iter()
    }

    /// Returns the revision of the store that the view shows.
    #[must_use]
    pub const fn revision(&self) -> StoreVersion {
        self.revision
    }

    /// Returns when the call that last confirmed the view was sent.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Tick> {
        self.confirmed_at
    }

    /// Returns whether the call that confirmed the view was sent less than `validity` ago.
    #[must_use]
    pub fn is_valid(&self, now: Tick, validity: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + validity)
    }

    /// Returns whether the registration of `name` was made by its run `run`.
    #[must_use]
    pub fn is_registered(&self, name: &InstanceName, run: &InstanceRun) -> bool {
        self.members.get(name).is_some_and(|member| member.run == *run)
    }

    /// Returns the member that ranks first in the rendezvous order of `target`.
    #[must_use]
    pub fn owner(&self, target: &TargetName) -> Option<&InstanceName> {
        let names = self.members.keys().map(InstanceName::as_str);
        let owner = rendezvous::owner(target.as_str(), names)?;
        self.members.keys().find(|name| name.as_str() == owner)
    }

    /// Applies a response of the store; returns the instances whose registration changed.
    ///
    /// An instance that was registered and removed between two responses counts as changed.
    pub(crate) fn apply(&mut self, update: &RosterUpdate) -> Vec<InstanceName> {
        self.confirmed_at = Some(update.sent_at);
        self.revision = update.revision;
        if update.is_full {
            return self.replace_all(update);
        }
        let mut changed = Vec::new();
        for change in &update.changes {
            if change.member.is_some() && self.members.get(&change.name) == change.member.as_ref() {
                continue;
            }
            self.apply_change(change);
            changed.push(change.name.clone());
        }
        changed
    }

    /// Replaces all members; returns the instances whose registration changed.
    fn replace_all(&mut self, update: &RosterUpdate) -> Vec<InstanceName> {
        let before = std::mem::take(&mut self.members);
        for change in &update.changes {
            self.apply_change(change);
        }
        let mut changed = Vec::new();
        for name in before.keys().chain(self.members.keys()) {
            if before.get(name) != self.members.get(name) && !changed.contains(name) {
                changed.push(name.clone());
            }
        }
        changed
    }

    /// Writes or removes one registration.
    fn apply_change(&mut self, change: &Change) {
        match &change.member {
            Some(member) => self.members.insert(change.name.clone(), member.clone()),
            None => self.members.remove(&change.name),
        };
    }
}
