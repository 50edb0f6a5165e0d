//! Filters the updates that a gateway forwards to its followers.

use super::change::{Change, Update};
use super::view::View;

/// Removes changes that followers do not need, such as the renewed registration of an unchanged
/// target.
///
/// A view may be ahead of its revision: a full listing is not an atomic snapshot, and a
/// configuration is kept even if it came from an outdated listing. The change that introduces such
/// an entry then has no effect on this view, but followers at the same revision may lack the entry
/// and need the change. So the update after a full one is forwarded whole, and a configuration is
/// always forwarded. In the grace period of a new era, in which the view keeps entries that the store
/// lost, updates are forwarded whole: each follower has a grace period of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relay {
    was_last_full: bool,
}

impl Relay {
    /// Returns the changes of `update` to forward, if those in `applied` had an effect on the own
    /// `view`.
    pub fn changes_to_forward(
        &mut self,
        view: &View,
        update: &Update,
        applied: &[Change],
    ) -> Vec<Change> {
        let was_last_full = std::mem::replace(&mut self.was_last_full, update.is_full);
        if (was_last_full || view.is_in_grace_of_era()) && !update.is_full {
            return update.changes.clone();
        }
        let is_configuration = |change: &&Change| matches!(change, Change::Configuration(_));
        let mut changes = applied.to_vec();
        for change in update.changes.iter().filter(is_configuration) {
            if !applied.contains(change) {
                changes.push(change.clone());
            }
        }
        changes
    }
}
