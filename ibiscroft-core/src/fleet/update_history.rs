//! Recent updates that a gateway keeps for its followers.

use std::collections::VecDeque;

use super::change::Revision;

/// Maximum number of updates kept; covers half a minute at two updates per second.
const MAX_UPDATES: usize = 64;

#[derive(Clone, Debug)]
struct Entry<M> {
    revision: Revision,
    message: M,
}

/// Recent update messages, each with the revision that it leads to.
///
/// State without a revision of the store, such as a listing that may be outdated, cannot serve as a
/// base for changes. The history therefore starts with the first known revision.
#[derive(Clone, Debug)]
pub struct UpdateHistory<M> {
    /// Revision after which every change is kept; `None` before a revision is known.
    complete_after: Option<Revision>,
    entries: VecDeque<Entry<M>>,
}

impl<M> Default for UpdateHistory<M> {
    fn default() -> Self {
        Self { complete_after: None, entries: VecDeque::new() }
    }
}

impl<M: Clone> UpdateHistory<M> {
    /// Removes all messages and restarts the history at `revision`, for a view that got there
    /// without the changes in between.
    pub fn reset(&mut self, revision: Revision) {
        self.complete_after = Some(revision);
        self.entries.clear();
    }

    /// Adds a message with the changes that lead to `revision`.
    pub fn push(&mut self, revision: Revision, message: M) {
        self.entries.push_back(Entry { revision, message });
        if self.entries.len() > MAX_UPDATES
            && let Some(oldest) = self.entries.pop_front()
        {
            self.complete_after = Some(oldest.revision);
        }
    }

    /// Returns the messages after `revision`, `None` if not every change since then is kept.
    #[must_use]
    pub fn updates_after(&self, revision: Revision) -> Option<Vec<M>> {
        let complete_after = self.complete_after?;
        if revision < complete_after {
            return None;
        }
        let missed = self.entries.iter().filter(|entry| entry.revision > revision);
        Some(missed.map(|entry| entry.message.clone()).collect())
    }
}
