//! The targets that one gateway keeps connections to.

use crate::config::Target;
use crate::ids::InstanceName;
use crate::rendezvous;

/// Fewest targets of a service that a gateway uses.
const MIN_TARGETS: usize = 4;

/// Returns the indexes of the targets that `gateway` uses, in ascending order.
///
/// Each target ranks the gateways of the `roster` and is used by as many of the first as it
/// accepts with `connections` connections each, so that its limit holds. A change of the
/// roster or of the targets moves as few members as possible. A gateway that no target ranks
/// high enough uses a few targets all the same.
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
    let mut chosen = Vec::with_capacity(targets.len());
    for (index, target) in targets.iter().enumerate() {
        if is_user(gateway, roster, target, connections) {
            chosen.push(index);
        }
    }
    if chosen.len() >= MIN_TARGETS.min(targets.len()) {
        return chosen;
    }
    first_choices(gateway, targets)
}

/// Returns whether `gateway` is among the gateways that `target` accepts.
fn is_user(
    gateway: &InstanceName,
    roster: &[InstanceName],
    target: &Target,
    connections: u32,
) -> bool {
    let accepted = (target.connections.get() / connections.max(1)) as usize;
    if roster.len() <= accepted {
        return true;
    }
    let rank = |name: &InstanceName| rendezvous::weight(target.name.as_str(), name.as_str());
    let own = rank(gateway);
    roster.iter().filter(|other| rank(other) > own).count() < accepted
}

/// Returns the few targets that `gateway` ranks highest.
fn first_choices(gateway: &InstanceName, targets: &[Target]) -> Vec<usize> {
    let mut all: Vec<usize> = (0..targets.len()).collect();
    all.sort_by_key(|index| {
        std::cmp::Reverse(rendezvous::weight(gateway.as_str(), targets[*index].name.as_str()))
    });
    all.truncate(MIN_TARGETS);
    all.sort_unstable();
    all
}
