//! The order in which targets are asked.

use ibiscroft_core::fleet::{Target, View};
use ibiscroft_core::ids::{TargetName, ZoneName};
use ibiscroft_core::rendezvous;
use rand::seq::SliceRandom;

use crate::exchange::Exchange;
use crate::shared::Shared;

/// Targets that are asked at first.
const ASK: usize = 2;
/// Targets of the own zone that are asked in each further round.
const ASK_NEAR: usize = 3;
/// Targets of other zones that are asked in each further round.
const ASK_FAR: usize = 1;
/// Targets of a service and zone that a gateway asks first.
const SUBSET: usize = 10;

/// The usable targets of a service, each list with the next to ask at its end.
pub(super) struct Candidates {
    /// The gateway's own zone.
    zone: ZoneName,
    /// Those of the gateway's own zone that answered when last asked.
    near: Vec<Target>,
    /// Those of other zones that answered when last asked.
    far: Vec<Target>,
    /// Those that could not be reached lately.
    paused: Vec<Target>,
}

impl Candidates {
    /// Makes the lists for a request that was not yet sent to the targets `tried`.
    pub(super) fn new(shared: &Shared, view: &View, ex: &Exchange, tried: &[TargetName]) -> Self {
        let now = shared.clock.now();
        let own = &shared.settings.availability_zone;
        let local = shared.local();
        let zone = own.clone();
        let mut found = Self { zone, near: Vec::new(), far: Vec::new(), paused: Vec::new() };
        for target in view.usable_targets(&ex.service) {
            if tried.contains(&target.name) {
                continue;
            }
            let list = if local.health(&target.name).is_excluded(now) {
                &mut found.paused
            } else if target.zone == *own {
                &mut found.near
            } else {
                &mut found.far
            };
            list.push(target.clone());
        }
        let instance = shared.settings.instance.as_str();
        for list in [&mut found.near, &mut found.far, &mut found.paused] {
            order(list, instance);
            list.sort_by_key(|target| std::cmp::Reverse(local.was_slow(now, &target.name)));
        }
        drop(local);
        found
    }

    /// Takes back targets that were not asked; they are the next ones.
    pub(super) fn put_back(&mut self, targets: Vec<Target>) {
        for target in targets {
            if target.zone == self.zone { self.near.push(target) } else { self.far.push(target) }
        }
    }

    /// Returns the number of targets left.
    pub(super) fn len(&self) -> usize {
        self.near.len() + self.far.len() + self.paused.len()
    }

    /// Returns the targets to ask next: near ones first, then some of each kind.
    pub(super) fn next_round(&mut self, is_first: bool) -> Vec<Target> {
        let mut round = Vec::new();
        if is_first {
            round.extend(take(&mut self.near, ASK));
            round.extend(take(&mut self.far, ASK - round.len()));
        } else {
            round.extend(take(&mut self.near, ASK_NEAR));
            round.extend(take(&mut self.far, ASK_FAR));
        }
        if round.is_empty() {
            round.extend(take(&mut self.paused, ASK));
        }
        round
    }
}

fn take(list: &mut Vec<Target>, count: usize) -> Vec<Target> {
    list.split_off(list.len().saturating_sub(count))
}

/// Puts the targets of this gateway's subset last, each part in random order.
///
/// A gateway that keeps to a subset keeps its connections in use; the subsets of many gateways
/// cover all targets alike.
fn order(list: &mut [Target], instance: &str) {
    list.sort_by_cached_key(|target| rendezvous::weight(instance, target.name.as_str()));
    let beyond = list.len().saturating_sub(SUBSET);
    list[..beyond].shuffle(&mut rand::rng());
    list[beyond..].shuffle(&mut rand::rng());
}
