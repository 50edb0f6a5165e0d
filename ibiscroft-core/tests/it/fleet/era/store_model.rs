//! Model of a store that returns from older copies.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::fleet::{Change, Era, Position, Revision, Update};

/// Entries and revision of the store at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreCopy {
    revision: u64,
    entries: BTreeMap<&'static str, Change>,
    /// Changes with their revisions.
    events: Vec<(u64, Change)>,
}

/// Store with eras.
#[derive(Debug, Default)]
pub(super) struct Store {
    content: StoreCopy,
    era: u64,
    /// Revision after which the changes are kept.
    kept_after: u64,
}

impl Store {
    pub(super) fn position(&self) -> Position {
        Position { era: Era(self.era), revision: Revision(self.content.revision) }
    }

    /// Writes an entry.
    pub(super) fn put(&mut self, key: &'static str, change: Change) {
        self.content.revision += 1;
        self.content.entries.insert(key, change.clone());
        self.content.events.push((self.content.revision, change));
    }

    /// Removes an entry, whose removal is `change`.
    pub(super) fn remove(&mut self, key: &'static str, change: Change) {
        self.content.revision += 1;
        self.content.entries.remove(key);
        self.content.events.push((self.content.revision, change));
    }

    /// Gives out revisions for keys that gateways do not use.
    pub(super) fn skip(&mut self, count: u64) {
        self.content.revision += count;
    }

    pub(super) fn copy(&self) -> StoreCopy {
        self.content.clone()
    }

    /// Returns to an older copy, which begins a new era.
    pub(super) fn restore(&mut self, copy: &StoreCopy) {
        self.content = copy.clone();
        self.era += 1;
        self.kept_after = 0;
    }

    /// Drops the changes up to now.
    pub(super) fn lose_history(&mut self) {
        self.kept_after = self.content.revision;
    }

    pub(super) fn list(&self) -> Update {
        Update { is_full: true, ..self.update(0, self.content.entries.values().cloned().collect()) }
    }

    /// Returns the changes after a revision of any era; `None` if the store does not have them.
    pub(super) fn watch(&self, after: Revision) -> Option<Update> {
        if after.get() > self.content.revision || after.get() < self.kept_after {
            return None;
        }
        let events = self.content.events.iter().filter(|(revision, _)| *revision > after.get());
        Some(self.update(after.get(), events.map(|(_, change)| change.clone()).collect()))
    }

    fn update(&self, since: u64, changes: Vec<Change>) -> Update {
        Update {
            era: Era(self.era),
            since: Revision(since),
            revision: Revision(self.content.revision),
            is_full: false,
            is_difference: false,
            changes,
            hints: Vec::new(),
            age: Duration::ZERO,
        }
    }
}
