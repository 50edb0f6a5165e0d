//! What a gateway tells its followers of an update.

use super::change::{Change, Update};

/// Leaves out of an update what no follower needs, such as a target that registered itself again
/// without a change.
///
/// A view may hold more than its revision says: a listing is no snapshot, and a configuration
/// read from an old listing is never given up. Such a thing makes no difference when its change
/// arrives, and followers that stand at the same revision without it need that change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relay {
    follows_listing: bool,
}

impl Relay {
    /// Returns the changes for followers, if those in `made` made a difference here.
    pub fn changes_to_forward(&mut self, update: &Update, made: &[Change]) -> Vec<Change> {
        let follows_listing = std::mem::replace(&mut self.follows_listing, update.is_full);
        if follows_listing && !update.is_full {
            return update.changes.clone();
        }
        let is_configuration = |change: &&Change| matches!(change, Change::Configuration(_));
        let mut changes = made.to_vec();
        for change in update.changes.iter().filter(is_configuration) {
            if !made.contains(change) {
                changes.push(change.clone());
            }
        }
        changes
    }
}
