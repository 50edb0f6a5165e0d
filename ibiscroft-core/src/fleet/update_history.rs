//! Recent updates that a gateway keeps for those that follow it.

use std::collections::VecDeque;

use super::change::Revision;

/// Updates that are kept; at two a second half a minute of changes.
const KEPT: usize = 64;

#[derive(Clone, Debug)]
struct Kept<M> {
    revision: Revision,
    message: M,
}

/// Messages with the changes after some revision, each with the revision that it leads to.
///
/// What a gateway knew before it knew a revision of the store, such as a listing that may be
/// old, is no base for changes: the history begins with the first revision.
#[derive(Clone, Debug)]
pub struct UpdateHistory<M> {
    /// Revision after which each change is kept; `None` before a revision is known.
    complete_after: Option<Revision>,
    kept: VecDeque<Kept<M>>,
}

impl<M> Default for UpdateHistory<M> {
    fn default() -> Self {
        Self { complete_after: None, kept: VecDeque::new() }
    }
}

impl<M: Clone> UpdateHistory<M> {
    /// Notes that the view is known at `revision`, and nothing of the way there.
    pub fn reset(&mut self, revision: Revision) {
        self.complete_after = Some(revision);
        self.kept.clear();
    }

    /// Keeps a message with the changes that lead to `revision`.
    pub fn push(&mut self, revision: Revision, message: M) {
        self.kept.push_back(Kept { revision, message });
        if self.kept.len() > KEPT
            && let Some(oldest) = self.kept.pop_front()
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
        let missed = self.kept.iter().filter(|kept| kept.revision > revision);
        Some(missed.map(|kept| kept.message.clone()).collect())
    }
}
