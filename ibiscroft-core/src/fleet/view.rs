//! The state that changes add up to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::change::{Change, Revision, Update};
use super::configuration::Configuration;
use super::target::{GatewayCount, Member, Target, TargetState};
use crate::Tick;
use crate::ids::{Generation, InstanceName, ServiceName, TargetName, ZoneName};

/// Time after the return of the store in which a registration that lapsed meanwhile comes back
/// if its target lives; from the platform's description of the store.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// Routes, targets and gateways as one gateway knows them.
#[derive(Clone, Debug, Default)]
pub struct View {
    configuration: Option<Configuration>,
    zones_out: BTreeSet<ZoneName>,
    targets: BTreeMap<TargetName, Target>,
    members: BTreeMap<InstanceName, Member>,
    gateways: Option<GatewayCount>,
    revision: Revision,
    /// Targets whose registration ended while the store was away, until the grace ends.
    lapsed: BTreeSet<TargetName>,
    /// End of the grace after the last return of the store.
    grace_until: Tick,
}

impl View {
    /// Takes an update; returns the changes that made a difference.
    ///
    /// A configuration never gives way to an older one, and a full update of a store at an older
    /// revision changes nothing.
    pub fn apply(&mut self, now: Tick, update: Update) -> Vec<Change> {
        if update.revision < self.revision {
            return Vec::new();
        }
        let is_first = self.revision == Revision(0);
        self.revision = update.revision;
        let mut made = Vec::new();
        if is_first && update.is_full {
            self.forget_listing();
        }
        if update.is_full {
            for change in self.absent(&update.changes) {
                self.apply_one(now, change, &mut made);
            }
        }
        for change in update.changes {
            self.apply_one(now, change, &mut made);
        }
        made
    }

    /// Returns whether nothing lies between the view and an update.
    #[must_use]
    pub fn is_contiguous_with(&self, update: &Update) -> bool {
        update.is_full || update.since <= self.revision
    }

    /// Notes that the store answers again after it was away.
    pub fn note_store_recovered(&mut self, now: Tick) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Drops the targets whose grace has ended; returns the changes.
    pub fn expire(&mut self, now: Tick) -> Vec<Change> {
        if now < self.grace_until {
            return Vec::new();
        }
        let mut made = Vec::new();
        for name in std::mem::take(&mut self.lapsed) {
            self.targets.remove(&name);
            made.push(Change::TargetGone(name));
        }
        made
    }

    /// Returns everything known, for a gateway that knows nothing.
    #[must_use]
    pub fn to_full_update(&self, age: Duration) -> Update {
        let configuration = self.configuration.clone().map(Box::new).map(Change::Configuration);
        let mut changes: Vec<Change> = configuration.into_iter().collect();
        changes.extend(self.zones_out.iter().cloned().map(Change::ZoneOut));
        changes.extend(self.targets.values().cloned().map(Change::Target));
        changes.extend(self.members.values().cloned().map(Change::Member));
        changes.extend(self.gateways.map(Change::Gateways));
        Update {
            since: Revision(0),
            revision: self.revision,
            is_full: true,
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

    /// Returns the version of the configuration in force; 0 means none.
    #[must_use]
    pub fn configuration_version(&self) -> Generation {
        self.configuration.as_ref().map_or(Generation(0), |found| found.version)
    }

    /// Returns the revision of the store that the view stands at.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
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

    /// Returns whether a target may receive new requests.
    #[must_use]
    pub fn is_usable(&self, target: &Target) -> bool {
        target.state == TargetState::Ready && !self.zones_out.contains(&target.zone)
    }

    /// Returns all registered targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns a registered target.
    #[must_use]
    pub fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Returns all registered gateways.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of registered gateways.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of gateways that the store holds.
    #[must_use]
    pub fn gateway_count(&self) -> Option<GatewayCount> {
        self.gateways
    }

    /// Returns the zones that are taken out.
    pub fn zones_out(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones_out.iter()
    }

    /// Forgets what came from a listing without a known revision, but for the configuration.
    fn forget_listing(&mut self) {
        self.targets.clear();
        self.members.clear();
        self.zones_out.clear();
    }

    /// Returns the removals that a full listing implies.
    fn absent(&self, listed: &[Change]) -> Vec<Change> {
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

    fn apply_one(&mut self, now: Tick, change: Change, made: &mut Vec<Change>) {
        let differs = match &change {
            Change::Configuration(found) => self.take_configuration(found),
            Change::ZoneOut(zone) => self.zones_out.insert(zone.clone()),
            Change::ZoneIn(zone) => self.zones_out.remove(zone),
            Change::Target(target) => self.take_target(target),
            Change::TargetGone(name) => self.drop_target(now, name),
            Change::Member(member) => {
                self.members.insert(member.name.clone(), member.clone()).as_ref() != Some(member)
            }
            Change::MemberGone(name) => self.members.remove(name).is_some(),
            Change::Gateways(count) => self.gateways.replace(*count) != Some(*count),
        };
        if differs {
            made.push(change);
        }
    }

    fn take_configuration(&mut self, found: &Configuration) -> bool {
        let is_newer = found.version > self.configuration_version();
        if is_newer {
            self.configuration = Some(found.clone());
        }
        is_newer
    }

    fn take_target(&mut self, target: &Target) -> bool {
        let was_lapsed = self.lapsed.remove(&target.name);
        let known = self.targets.get(&target.name);
        if known.is_some_and(|known| known.is_newer_than(target) && !was_lapsed) {
            return false;
        }
        let differs = known.is_none_or(|known| target.differs(known));
        self.targets.insert(target.name.clone(), target.clone());
        differs
    }

    /// Removes a target, unless its registration may merely have lapsed with the store.
    fn drop_target(&mut self, now: Tick, name: &TargetName) -> bool {
        let is_draining =
            self.targets.get(name).is_some_and(|target| target.state == TargetState::Draining);
        if now < self.grace_until && !is_draining && self.targets.contains_key(name) {
            self.lapsed.insert(name.clone());
            return false;
        }
        self.lapsed.remove(name);
        self.targets.remove(name).is_some()
    }
}
