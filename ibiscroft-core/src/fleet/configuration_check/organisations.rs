//! Differences of organisations, their keys, priorities and quotas.

use std::collections::{BTreeMap, BTreeSet};

use super::ConfigurationDifference;
use crate::fleet::{KeyDigest, OrganisationPolicy, Organisations};
use crate::ids::OrganisationName;

/// Finds what differs between the organisations in force and the proposed ones.
pub(super) fn compare_organisations(
    before: &Organisations,
    now: &Organisations,
    differences: &mut Vec<ConfigurationDifference>,
) {
    let names = before.policies().chain(now.policies()).map(|(name, _)| name);
    for name in names.collect::<BTreeSet<_>>() {
        let organisation = name.clone();
        match (before.policy(name), now.policy(name)) {
            (None, _) => {
                differences.push(ConfigurationDifference::OrganisationAdded { organisation });
            }
            (_, None) => {
                differences.push(ConfigurationDifference::OrganisationRemoved { organisation });
            }
            (Some(old), Some(new)) => compare_policies(name, old, new, differences),
        }
        compare_keys(name, before, now, differences);
    }
}

fn compare_policies(
    name: &OrganisationName,
    old: &OrganisationPolicy,
    new: &OrganisationPolicy,
    differences: &mut Vec<ConfigurationDifference>,
) {
    if old.priority != new.priority {
        let (from, to) = (old.priority, new.priority);
        let organisation = name.clone();
        differences.push(ConfigurationDifference::PriorityChanged { organisation, from, to });
    }
    if old.quota != new.quota {
        let (from, to) = (old.quota, new.quota);
        let organisation = name.clone();
        differences.push(ConfigurationDifference::QuotaChanged { organisation, from, to });
    }
}

fn compare_keys(
    name: &OrganisationName,
    before: &Organisations,
    now: &Organisations,
    differences: &mut Vec<ConfigurationDifference>,
) {
    let of_name = |organisations: &Organisations| -> Vec<KeyDigest> {
        organisations.keys().filter(|(_, holder)| *holder == name).map(|(key, _)| key).collect()
    };
    let (old, new) = (of_name(before), of_name(now));
    let added = new.iter().filter(|key| before.by_key(**key).is_none()).count();
    let removed = old.iter().filter(|key| now.by_key(**key).is_none()).count();
    let mut moved: BTreeMap<&OrganisationName, usize> = BTreeMap::new();
    for to in old.iter().filter_map(|key| now.by_key(*key)).filter(|to| *to != name) {
        *moved.entry(to).or_default() += 1;
    }
    let organisation = name.clone();
    if added > 0 {
        differences.push(ConfigurationDifference::KeysAdded { organisation, count: added });
    }
    let organisation = name.clone();
    if removed > 0 {
        differences.push(ConfigurationDifference::KeysRemoved { organisation, count: removed });
    }
    for (to, count) in moved {
        let (from, to) = (name.clone(), to.clone());
        differences.push(ConfigurationDifference::KeysMoved { from, to, count });
    }
    if !old.is_empty() && removed == old.len() {
        let (organisation, has_new_keys) = (name.clone(), !new.is_empty());
        differences.push(ConfigurationDifference::AccessLost { organisation, has_new_keys });
    }
}
