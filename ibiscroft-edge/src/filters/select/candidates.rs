//! The order in which the targets of a service are probed.

use std::cmp::Reverse;
use std::collections::HashSet;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Target, View, new_connections, probe_order};
use ibiscroft_core::ids::{TargetName, ZoneName};
use ibiscroft_core::rendezvous;
use rand::seq::SliceRandom;

use crate::exchange::Exchange;
use crate::shared::Shared;

/// Number of targets probed in the first round.
const FIRST_ROUND_PROBES: usize = 2;
/// Number of targets of the gateway's own zone probed in each later round.
const LATER_ROUND_OWN_ZONE_PROBES: usize = 3;
/// Number of targets of other zones probed in each later round.
const LATER_ROUND_OTHER_ZONE_PROBES: usize = 1;
/// Number of targets in each list of [`Candidates`] that a gateway prefers to the others.
const SUBSET_SIZE: usize = 10;

/// The usable targets of a service that were not probed yet.
///
/// Each list has the target to probe next at its end.
pub(super) struct Candidates {
    /// The gateway's own zone.
    zone: ZoneName,
    /// Targets of the gateway's own zone that are not excluded.
    own_zone: Vec<Target>,
    /// Targets of other zones that are not excluded.
    other_zones: Vec<Target>,
    /// Targets that are excluded because this gateway or others could not reach them recently.
    excluded: Vec<Target>,
    /// Targets to which an idle connection is open; `None` if these are not preferred.
    connected: Option<HashSet<TargetName>>,
    /// When the first of the targets that asked for a rest may be used again.
    resting_until: Option<Tick>,
}

impl Candidates {
    /// Collects the candidates for a request, without the targets in `attempted`, to which it was
    /// already sent.
    pub(super) fn new(
        shared: &Shared,
        view: &View,
        ex: &Exchange,
        attempted: &[TargetName],
    ) -> Self {
        let now = shared.clock.now();
        let own_zone = &shared.settings.availability_zone;
        let traffic = shared.traffic();
        let zone = own_zone.clone();
        let mut candidates = Self {
            zone,
            own_zone: Vec::new(),
            other_zones: Vec::new(),
            excluded: Vec::new(),
            connected: None,
            resting_until: None,
        };
        for target in view.usable_targets(&ex.service) {
            if attempted.contains(&target.name) || traffic.leaving.contains(target) {
                continue;
            }
            if let Some(until) = traffic.resting.until(now, target) {
                let earliest = candidates.resting_until.get_or_insert(until);
                *earliest = until.min(*earliest);
                continue;
            }
            let list = if traffic.is_excluded(now, target) {
                &mut candidates.excluded
            } else if target.zone == *own_zone {
                &mut candidates.own_zone
            } else {
                &mut candidates.other_zones
            };
            list.push(target.clone());
        }
        let instance = shared.settings.instance.as_str();
        candidates.connected = shared.has_pool_feature.then(|| {
            let targets = candidates.own_zone.iter().chain(&candidates.other_zones);
            shared.pool.connected(targets.map(|target| &target.name))
        });
        for list in
            [&mut candidates.own_zone, &mut candidates.other_zones, &mut candidates.excluded]
        {
            shuffle_by_subset(list, instance);
            list.sort_by_key(|target| {
                let is_slow = traffic.is_likely_slow(now, &target.name);
                let connected = candidates.connected.as_ref();
                let is_open = connected.is_none_or(|connected| connected.contains(&target.name));
                Reverse(probe_order(is_slow, is_open))
            });
        }
        drop(traffic);
        candidates
    }

    /// Puts back targets that were not probed, as the next ones to probe.
    ///
    /// An excluded target goes to the list of its zone, and is still the next one to probe: excluded
    /// targets are taken only when these lists are empty.
    pub(super) fn put_back(&mut self, targets: Vec<Target>) {
        for target in targets {
            if target.zone == self.zone {
                self.own_zone.push(target);
            } else {
                self.other_zones.push(target);
            }
        }
    }

    /// Returns when the first of the targets that asked for a rest may be used again, `None` if no
    /// target is resting.
    pub(super) fn resting_until(&self) -> Option<Tick> {
        self.resting_until
    }

    /// Returns the number of remaining targets.
    pub(super) fn len(&self) -> usize {
        self.own_zone.len() + self.other_zones.len() + self.excluded.len()
    }

    /// Removes and returns the targets to probe in the next round.
    ///
    /// The first round prefers targets of the gateway's own zone; later rounds take some of each
    /// zone. Excluded targets are taken only when no others are left.
    pub(super) fn next_round(&mut self, is_first: bool) -> Vec<Target> {
        let mut round = Vec::new();
        if is_first {
            round.extend(take_last(&mut self.own_zone, FIRST_ROUND_PROBES));
            round.extend(take_last(&mut self.other_zones, FIRST_ROUND_PROBES - round.len()));
        } else {
            round.extend(take_last(&mut self.own_zone, LATER_ROUND_OWN_ZONE_PROBES));
            round.extend(take_last(&mut self.other_zones, LATER_ROUND_OTHER_ZONE_PROBES));
        }
        if let Some(connected) = &self.connected {
            let (open, new): (Vec<Target>, Vec<Target>) =
                round.into_iter().partition(|target| connected.contains(&target.name));
            let limit = new_connections(open.len(), new.len());
            round = open;
            let mut new = new.into_iter();
            round.extend(new.by_ref().take(limit));
            let left = new.collect();
            self.put_back(left);
        }
        if round.is_empty() {
            round.extend(take_last(&mut self.excluded, FIRST_ROUND_PROBES));
        }
        round
    }
}

/// Removes and returns the last `count` targets of a list, or all if there are fewer.
fn take_last(list: &mut Vec<Target>, count: usize) -> Vec<Target> {
    list.split_off(list.len().saturating_sub(count))
}

/// Moves this gateway's subset to the end of the list, and shuffles the subset and the others
/// separately.
///
/// By preferring a subset a gateway keeps its connections in use. The subsets are chosen by
/// rendezvous hashing, so those of many gateways cover all targets evenly.
fn shuffle_by_subset(list: &mut [Target], instance: &str) {
    list.sort_by_cached_key(|target| rendezvous::weight(instance, target.name.as_str()));
    let subset_start = list.len().saturating_sub(SUBSET_SIZE);
    list[..subset_start].shuffle(&mut rand::rng());
    list[subset_start..].shuffle(&mut rand::rng());
}
