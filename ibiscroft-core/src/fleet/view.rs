//! A gateway's view of the fleet.

mod era;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::change::{Change, Era, Position, Revision, Update};
use super::configuration::Configuration;
use super::departed_targets::DepartedTargets;
use super::target::{GatewayCount, Member, Target, TargetState};
use crate::Tick;
use crate::ids::{Generation, InstanceName, ServiceName, TargetName, ZoneName};

/// Grace period after an outage of the store. Registrations may lapse during the outage; according
/// to the platform's description of the store, running targets renew them within this time.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// Configuration, evacuated zones, targets and gateways as known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct View {
    configuration: Option<Configuration>,
    zones_out: BTreeSet<ZoneName>,
    targets: BTreeMap<TargetName, Target>,
    members: BTreeMap<InstanceName, Member>,
    gateways: Option<GatewayCount>,
    position: Position,
    /// Targets whose registration may have lapsed only because of the outage; kept until the grace
    /// period ends.
    lapsed: BTreeSet<TargetName>,
    /// End of the grace period after the last outage of the store.
    grace_until: Tick,
    /// Targets and gateways whose registration the store lost with the change of its era; kept
    /// until `lost_until`.
    lost_targets: BTreeSet<TargetName>,
    lost_members: BTreeSet<InstanceName>,
    lost_until: Tick,
    /// Whether `lost_until` has not passed yet.
    is_in_grace_of_era: bool,
    /// Evacuated zones that the store lost with the change of its era; evacuated until
    /// `lost_evacuations_until`.
    lost_evacuations: BTreeSet<ZoneName>,
    lost_evacuations_until: Tick,
    departed: DepartedTargets,
    /// Targets that have not renewed their registration since the store's era began. The first
    /// renewal counts as a change: others may have seen the target leave in an earlier era and wait
    /// for a later registration.
    unrenewed: BTreeSet<TargetName>,
}

impl View {
    /// Applies an update; returns the changes that had an effect.
    ///
    /// A configuration is never replaced by an older one, and an update to an older position than
    /// the view's has no effect.
    ///
    /// In a new era, the store has returned from an older copy. Only a full update leads to it: the
    /// changes of a new era say nothing about what the store lost. Registrations that the copy does
    /// not hold are kept for a grace period. What this view has seen of a target stays as seen if
    /// the copy is older: a later registration is kept, and one that ended is not taken from the
    /// copy.
    pub fn apply(&mut self, now: Tick, update: Update) -> Vec<Change> {
        if !self.accepts(&update) {
            return Vec::new();
        }
        let begins_era = update.era > self.position.era;
        let is_first = !self.position.is_known();
        let mut applied = Vec::new();
        if is_first && update.is_full {
            self.clear_entries();
        }
        if begins_era && !is_first {
            self.begin_era(now, &update.changes);
        }
        if update.is_full {
            for change in self.implied_removals(&update.changes) {
                self.apply_one(now, change, &mut applied);
            }
        }
        // Removals that a listing implies ended in the era before it.
        self.position = update.position();
        let renewed = self.renewed_targets(&update);
        for change in update.changes {
            if update.is_full && self.is_outdated_listing(&change) {
                continue;
            }
            self.apply_one(now, change, &mut applied);
        }
        for name in renewed {
            self.unrenewed.remove(&name);
        }
        if begins_era {
            self.unrenewed = self.targets.keys().cloned().collect();
        }
        applied
    }

    /// Returns whether the update can be applied without missing changes between the view's
    /// position and the update.
    #[must_use]
    pub fn is_contiguous_with(&self, update: &Update) -> bool {
        let (since, position) = (update.since_position(), update.position());
        let has_hints_only = !update.hints.is_empty();
        if update.is_difference && since < self.position && self.position < position {
            return false;
        }
        update.is_full || has_hints_only || since <= self.position
    }

    /// Starts the grace period: the store responds again after an outage.
    pub fn note_store_recovered(&mut self, now: Tick) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Removes lapsed and lost entries whose time has ended; returns the resulting changes.
    pub fn expire(&mut self, now: Tick) -> Vec<Change> {
        let mut applied = Vec::new();
        let mut ended = Vec::new();
        let era = self.position.era;
        if now >= self.grace_until {
            ended.extend(std::mem::take(&mut self.lapsed).into_iter().map(|name| (name, era)));
        }
        if now >= self.lost_until {
            self.is_in_grace_of_era = false;
            // They were seen last in an earlier era.
            let before = Era(era.get().saturating_sub(1));
            let lost = std::mem::take(&mut self.lost_targets);
            ended.extend(lost.into_iter().map(|name| (name, before)));
        }
        for (name, era) in ended {
            if let Some(target) = self.targets.remove(&name) {
                self.departed.note(now, era, &target, false);
            }
            self.unrenewed.remove(&name);
            applied.push(Change::TargetGone(name));
        }
        if now >= self.lost_until {
            for name in std::mem::take(&mut self.lost_members) {
                self.members.remove(&name);
                applied.push(Change::MemberGone(name));
            }
        }
        if now >= self.lost_evacuations_until {
            let zones = std::mem::take(&mut self.lost_evacuations);
            applied.extend(zones.into_iter().map(Change::ZoneIn));
        }
        applied
    }

    /// Returns a full update with the whole state, for a gateway that has none.
    ///
    /// `age` is the time since the store was last known to be at the view's position. What the
    /// store lost with the change of its era is left out: each gateway keeps what it has seen, for
    /// its own time, and none takes it for the store's word.
    #[must_use]
    pub fn to_full_update(&self, age: Duration) -> Update {
        let configuration = self.configuration.clone().map(Box::new).map(Change::Configuration);
        let mut changes: Vec<Change> = configuration.into_iter().collect();
        changes.extend(self.zones_out.iter().cloned().map(Change::ZoneOut));
        let targets = self.targets.values().filter(|t| !self.lost_targets.contains(&t.name));
        changes.extend(targets.cloned().map(Change::Target));
        let members = self.members.values().filter(|m| !self.lost_members.contains(&m.name));
        changes.extend(members.cloned().map(Change::Member));
        changes.extend(self.gateways.map(Change::Gateways));
        Update {
            era: self.position.era,
            since: Revision(0),
            revision: self.position.revision,
            is_full: true,
            is_difference: false,
            changes,
            hints: Vec::new(),
            age,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn configuration_version(&self) -> Generation {
        self.configuration.as_ref().map_or(Generation(0), |current| current.version)
    }

    /// Returns the position of the store that the view corresponds to.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the targets of a service that may receive new requests.
    pub fn usable_targets<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Target> {
        self.targets
            .values()
            .filter(move |target| target.service == *service && self.is_usable(target))
    }

    /// Returns whether a target may receive new requests: it is ready and its zone is not
    /// evacuated.
    #[must_use]
    pub fn is_usable(&self, target: &Target) -> bool {
        let is_evacuated =
            self.zones_out.contains(&target.zone) || self.lost_evacuations.contains(&target.zone);
        target.state == TargetState::Ready && !is_evacuated
    }

    /// Returns the registered targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the registration of a target.
    #[must_use]
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Returns the registered gateways; not all gateways of the fleet register themselves.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of registered gateways.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of gateways in the fleet, as written to the store.
    #[must_use]
    pub fn gateway_count(&self) -> Option<GatewayCount> {
        self.gateways
    }

    /// Returns the evacuated zones, also those whose evacuation the store lost.
    pub fn zones_out(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones_out.union(&self.lost_evacuations)
    }

    /// Removes entries that came from a listing without a known revision, which may be outdated;
    /// keeps the configuration.
    fn clear_entries(&mut self) {
        self.targets.clear();
        self.members.clear();
        self.zones_out.clear();
    }

    /// Returns the removals that a full update implies: of entries that it does not list.
    fn implied_removals(&self, listed: &[Change]) -> Vec<Change> {
        let mut targets: BTreeSet<&TargetName> = self.targets.keys().collect();
        let mut members: BTreeSet<&InstanceName> = self.members.keys().collect();
        let mut zones: BTreeSet<&ZoneName> = self.zones_out.iter().collect();
        for change in listed {
            match change {
                Change::Target(target) => drop(targets.remove(&target.name)),
                Change::Member(member) => drop(members.remove(&member.name)),
                Change::ZoneOut(zone) => drop(zones.remove(zone)),
                _ => {}
            }
        }
        let targets = targets.into_iter().cloned().map(Change::TargetGone);
        let members = members.into_iter().cloned().map(Change::MemberGone);
        targets.chain(members).chain(zones.into_iter().cloned().map(Change::ZoneIn)).collect()
    }

    fn apply_one(&mut self, now: Tick, change: Change, applied: &mut Vec<Change>) {
        let differs = match &change {
            Change::Configuration(configuration) => self.apply_configuration(configuration),
            Change::ZoneOut(zone) => {
                self.lost_evacuations.remove(zone);
                self.zones_out.insert(zone.clone())
            }
            Change::ZoneIn(zone) => {
                let was_lost = self.lost_evacuations.remove(zone);
                self.zones_out.remove(zone) || was_lost
            }
            Change::Target(target) => self.apply_target(target),
            Change::TargetGone(name) => self.remove_target(now, name),
            Change::Member(member) => {
                let was_lost = self.lost_members.remove(&member.name);
                let known = self.members.insert(member.name.clone(), member.clone());
                was_lost || known.as_ref() != Some(member)
            }
            Change::MemberGone(name) => self.remove_member(now, name),
            Change::Gateways(count) => self.gateways.replace(*count) != Some(*count),
        };
        if differs {
            applied.push(change);
        }
    }

    fn apply_configuration(&mut self, configuration: &Configuration) -> bool {
        let is_newer = configuration.version > self.configuration_version();
        if is_newer {
            self.configuration = Some(configuration.clone());
        }
        is_newer
    }

    fn apply_target(&mut self, target: &Target) -> bool {
        let was_lost = self.lost_targets.remove(&target.name);
        let was_lapsed = self.lapsed.remove(&target.name);
        self.departed.remove(&target.name);
        let known = self.targets.get(&target.name);
        if known.is_some_and(|known| known.is_newer_than(target) && !was_lapsed) {
            return was_lost;
        }
        let is_renewal = known.is_some_and(|known| target.is_newer_than(known))
            && self.unrenewed.contains(&target.name);
        // The end of a lapse is a change: followers may have lapsed the target as well.
        let differs =
            was_lapsed || was_lost || is_renewal || known.is_none_or(|known| target.differs(known));
        self.targets.insert(target.name.clone(), target.clone());
        differs
    }

    /// Removes a target. During a grace period, a target that was not draining is kept as lapsed
    /// instead, because its registration may have ended only due to the outage or the change of era.
    fn remove_target(&mut self, now: Tick, name: &TargetName) -> bool {
        let is_draining =
            self.targets.get(name).is_some_and(|target| target.state == TargetState::Draining);
        let is_kept = !is_draining && self.targets.contains_key(name);
        if is_kept && now < self.lost_until {
            self.lapsed.remove(name);
            self.lost_targets.insert(name.clone());
            return false;
        }
        if is_kept && now < self.grace_until {
            self.lapsed.insert(name.clone());
            return false;
        }
        self.lapsed.remove(name);
        self.lost_targets.remove(name);
        self.unrenewed.remove(name);
        let removed = self.targets.remove(name);
        if let Some(target) = &removed {
            self.departed.note(now, self.position.era, target, true);
        }
        removed.is_some()
    }
}
