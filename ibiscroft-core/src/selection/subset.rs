//! The targets that one gateway keeps connections to.

use crate::config::Target;
use crate::ids::{InstanceName, ServiceName, ZoneName};
use crate::rendezvous;

/// Fewest targets a gateway keeps in a subset of a service.
const MIN_SUBSET: usize = 12;

/// Returns how many of `targets` one gateway uses.
///
/// All of them while `gateways` gateways with `per_gateway` connections each stay within
/// `per_target` connections at a target.
///
/// ```
/// use ibiscroft_core::selection::subset_size;
///
/// assert_eq!(subset_size(28, 18, 200, 8), 28);
/// assert_eq!(subset_size(890, 100, 200, 8), 222);
/// ```
#[must_use]
pub fn subset_size(targets: usize, gateways: usize, per_target: u32, per_gateway: u32) -> usize {
    let wanted = gateways.max(1) * per_gateway.max(1) as usize;
    let allowed = targets * per_target as usize / wanted;
    allowed.max(MIN_SUBSET).min(targets)
}

/// Returns the indexes of about `size` targets that `gateway` uses, in ascending order.
///
/// Each availability zone keeps its share, at least one target, so that the subset outlives
/// the departure of a zone. A change of the targets moves as few members as possible.
#[must_use]
pub fn subset(
    service: &ServiceName,
    gateway: &InstanceName,
    targets: &[Target],
    size: usize,
) -> Vec<usize> {
    if size >= targets.len() {
        return (0..targets.len()).collect();
    }
    let key = format!("{service}/{gateway}");
    let mut chosen = Vec::with_capacity(size);
    for zone in zones(targets) {
        let mut members: Vec<usize> =
            (0..targets.len()).filter(|index| targets[*index].zone == *zone).collect();
        let share = (members.len() * size).div_ceil(targets.len());
        members.sort_by_key(|index| {
            std::cmp::Reverse(rendezvous::weight(&key, targets[*index].name.as_str()))
        });
        chosen.extend(members.into_iter().take(share));
    }
    chosen.sort_unstable();
    chosen
}

fn zones(targets: &[Target]) -> Vec<&ZoneName> {
    let mut zones: Vec<&ZoneName> = targets.iter().map(|target| &target.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}
