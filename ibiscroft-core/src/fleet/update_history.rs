//! Recent updates that a gateway keeps for its followers.

use std::collections::VecDeque;

use super::change::Position;

/// Maximum number of updates kept; covers half a minute at two updates per second.
const MAX_UPDATES: usize = 64;

#[derive(Clone, Debug)]
struct Entry<M> {
    position: Position,
    message: M,
}

/// Recent update messages, each with the position that it leads to.
///
/// State without a revision of the store, such as a listing that may be outdated, cannot serve as a
/// base for changes. The history therefore starts with the first known revision.
#[derive(Clone, Debug)]
pub struct UpdateHistory<M> {
    /// Position after which every change is kept; `None` before one is known.
    complete_after: Option<Position>,
    entries: VecDeque<Entry<M>>,
}

impl<M> Default for UpdateHistory<M> {
    fn default() -> Self {
        Self { complete_after: None, entries: VecDeque::new() }
    }
}

impl<M: Clone> UpdateHistory<M> {
    /// Removes all messages and restarts the history at `position`, for a view that got there
    /// without the changes in between.
    pub fn reset(&mut self, position: Position) {
        self.complete_after = Some(position);
        self.entries.clear();
    }

    /// Adds a message with the changes that lead to `position`.
    pub fn push(&mut self, position: Position, message: M) {
        self.entries.push_back(Entry { position, message });
        if self.entries.len() > MAX_UPDATES
            && let Some(oldest) = self.entries.pop_front()
        {
            self.complete_after = Some(oldest.position);
        }
    }

    /// Returns the messages after `position`, `None` if not every change since then is kept.
    #[must_use]
    pub fn updates_after(&self, position: Position) -> Option<Vec<M>> {
        let complete_after = self.complete_after?;
        if position < complete_after {
            return None;
        }
        let missed = self.entries.iter().filter(|entry| entry.position > position);
        Some(missed.map(|entry| entry.message.clone()).collect())
    }
}
