//! Subsetting: the targets to which one gateway keeps connections.

use crate::config::Target;
use crate::ids::InstanceName;
use crate::rendezvous;

/// Minimum number of targets of a service that a gateway uses.
const MIN_TARGETS: usize = 4;

/// Returns the indexes of the targets that `gateway` uses, in ascending order.
///
/// Each target ranks the gateways in `roster` by rendezvous hashing. With `connections`
/// connections for each gateway, it is used by as many of the highest ranked gateways as its
/// connection limit allows. A change of the roster or of the targets changes as few of these
/// assignments as possible.
///
/// A gateway that gets fewer than four targets in this way uses the four that it ranks highest
/// itself, although these then may exceed their connection limit.
///
/// ```
/// use ibiscroft_core::ids::InstanceName;
/// use ibiscroft_core::selection::subset;
///
/// let roster = [InstanceName::new("gw-1"), InstanceName::new("gw-2")];
/// assert!(subset(&roster[0], &roster, &[], 8).is_empty());
/// ```
#[must_use]
pub fn subset(
    gateway: &InstanceName,
    roster: &[InstanceName],
    targets: &[Target],
    connections: u32,
) -> Vec<usize> {
    let mut assigned = Vec::with_capacity(targets.len());
    for (index, target) in targets.iter().enumerate() {
        if is_assigned(gateway, roster, target, connections) {
            assigned.push(index);
        }
    }
    if assigned.len() >= MIN_TARGETS.min(targets.len()) {
        return assigned;
    }
    highest_ranked_targets(gateway, targets)
}

/// Returns whether `gateway` is among the highest ranked gateways that may use `target`.
fn is_assigned(
    gateway: &InstanceName,
    roster: &[InstanceName],
    target: &Target,
    connections: u32,
) -> bool {
    let max_gateways = (target.connections.get() / connections.max(1)) as usize;
    if roster.len() <= max_gateways {
        return true;
    }
    let rank = |name: &InstanceName| rendezvous::weight(target.name.as_str(), name.as_str());
    let own = rank(gateway);
    roster.iter().filter(|other| rank(other) > own).count() < max_gateways
}

/// Returns the [`MIN_TARGETS`] targets that `gateway` ranks highest.
fn highest_ranked_targets(gateway: &InstanceName, targets: &[Target]) -> Vec<usize> {
    let mut all: Vec<usize> = (0..targets.len()).collect();
    all.sort_by_key(|index| {
        std::cmp::Reverse(rendezvous::weight(gateway.as_str(), targets[*index].name.as_str()))
    });
    all.truncate(MIN_TARGETS);
    all.sort_unstable();
    all
}
