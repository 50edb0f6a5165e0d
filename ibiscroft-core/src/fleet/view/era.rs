//! What a view does when the store returns from an older copy, which begins a new era.

use std::time::Duration;

use super::{LAPSE_GRACE, View};
use crate::Tick;
use crate::fleet::change::{Change, Update};
use crate::ids::{InstanceName, TargetName, ZoneName};

/// Time for which an evacuation that the store lost stays in force, for operators to write it again.
/// It ends by itself because the removal of a key that the store does not have may go unnoticed.
const LOST_EVACUATION_RETENTION: Duration = Duration::from_secs(30);

impl View {
    /// Returns whether the update has an effect: it is not older than the view, and full if it leads
    /// to a new era. Changes of other updates must not be forwarded either.
    #[must_use]
    pub fn accepts(&self, update: &Update) -> bool {
        let begins_era = update.era > self.position.era;
        update.position() >= self.position && (update.is_full || !begins_era)
    }

    /// Returns whether the view keeps entries whose registration has ended, for the grace period of
    /// a new era. Followers then receive a listing as a full view, from which these are left out.
    #[must_use]
    pub fn is_in_grace_of_era(&self) -> bool {
        self.is_in_grace_of_era
    }

    /// Returns the evacuated zones whose evacuation the store lost.
    pub fn lost_evacuations(&self) -> impl Iterator<Item = &ZoneName> {
        self.lost_evacuations.iter()
    }

    /// Prepares the view for the `listed` entries of a new era: begins the grace periods for
    /// registrations and evacuations that the store lost, and forgets a number of gateways that it
    /// lost, so that it is written again.
    pub(super) fn begin_era(&mut self, now: Tick, listed: &[Change]) {
        self.lost_until = now + LAPSE_GRACE;
        self.is_in_grace_of_era = true;
        self.lost_evacuations_until = now + LOST_EVACUATION_RETENTION;
        let is_listed = |zone: &ZoneName| {
            listed.iter().any(|change| matches!(change, Change::ZoneOut(listed) if listed == zone))
        };
        self.lost_evacuations.extend(self.zones_out.extract_if(.., |zone| !is_listed(zone)));
        if !listed.iter().any(|change| matches!(change, Change::Gateways(_))) {
            self.gateways = None;
        }
    }

    /// Returns the targets that an update shows to have renewed their registration in this era. A
    /// listing does not tell: it may contain what a gateway has seen in an earlier era.
    pub(super) fn renewed_targets(&self, update: &Update) -> Vec<TargetName> {
        if update.is_full || update.is_difference || self.unrenewed.is_empty() {
            return Vec::new();
        }
        let name = |change: &Change| match change {
            Change::Target(target) => Some(target.name.clone()),
            _ => None,
        };
        update.changes.iter().filter_map(name).collect()
    }

    /// Returns whether a listed entry is a registration that ended in an earlier era.
    pub(super) fn is_outdated_listing(&self, change: &Change) -> bool {
        let Change::Target(target) = change else {
            return false;
        };
        self.departed.is_outdated_listing(self.position.era, target)
    }

    /// Removes a gateway. After a change of the store's era it is kept for a time, because
    /// it registers itself again; without gateways to follow, all would read the store.
    pub(super) fn remove_member(&mut self, now: Tick, name: &InstanceName) -> bool {
        if now < self.lost_until && self.members.contains_key(name) {
            self.lost_members.insert(name.clone());
            return false;
        }
        self.lost_members.remove(name);
        self.members.remove(name).is_some()
    }
}
