//! Differences from the configuration in force, and what they do to callers.

use std::collections::{BTreeMap, BTreeSet};

use super::Severity;
use super::organisations::compare_organisations;
use crate::copy_data;
use crate::fleet::{CallerLimits, Configuration, Quota, Route};
use crate::ids::{Generation, OrganisationName, ServiceName};

copy_data! {
    /// Field of a route, except for its services.
    pub enum RouteField {
        /// Host of the requests.
        Host,
        /// Prefix of the paths.
        Prefix,
        /// Whether requests may be repeated.
        Repeatable,
        /// Timeout.
        Timeout,
        /// Latency objective.
        Aim,
        /// Priority.
        Priority,
        /// Weights of the same services.
        Weights,
        /// Maximum number of attempts.
        MaxAttempts,
        /// Whether callers need no key.
        Public,
    }

    /// Field of the limits on callers.
    pub enum LimitField {
        /// Maximum size of the header.
        HeaderBytes,
        /// Maximum size of a body.
        BodyBytes,
        /// Maximum time for a header.
        HeaderTimeout,
        /// Minimum time for idle connections.
        IdleTimeout,
    }
}

/// One difference between the configuration in force and a proposed one.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationDifference {
    /// The version is not above the one in force, so that the proposed configuration has no effect.
    VersionNotRaised {
        /// Version in force.
        in_force: Generation,
    },
    /// A route is new.
    RouteAdded {
        /// The route.
        route: String,
    },
    /// A route is gone.
    RouteRemoved {
        /// The route.
        route: String,
        /// Route that its requests match now, `None` if they get 404.
        replacement: Option<String>,
    },
    /// The requests of a route go to other services.
    RouteMoved {
        /// The route.
        route: String,
        /// Services before, in the order of their names.
        from: Vec<ServiceName>,
        /// Services now, in the order of their names.
        to: Vec<ServiceName>,
    },
    /// A field of a route has another value.
    RouteChanged {
        /// The route.
        route: String,
        /// The field.
        field: RouteField,
        /// Whether callers lose something by it: another host or prefix, or a key that they need.
        is_loss: bool,
    },
    /// A service is new.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// A service is gone.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A service has other settings.
    ServiceChanged {
        /// The service.
        service: ServiceName,
    },
    /// A limit on callers has another value.
    LimitChanged {
        /// The limit.
        field: LimitField,
        /// Whether it is lower.
        is_lower: bool,
    },
    /// Callers need keys, which they did not before.
    KeysRequired,
    /// Callers no longer need keys.
    KeysNotRequired,
    /// An organisation is new.
    OrganisationAdded {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// An organisation is gone.
    OrganisationRemoved {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// An organisation had keys, and none of them is valid any longer.
    AccessLost {
        /// The organisation.
        organisation: OrganisationName,
        /// Whether the organisation has other keys now.
        has_new_keys: bool,
    },
    /// An organisation has keys that were unknown.
    KeysAdded {
        /// The organisation.
        organisation: OrganisationName,
        /// Number of keys.
        count: usize,
    },
    /// Keys of an organisation are no longer valid.
    KeysRemoved {
        /// The organisation.
        organisation: OrganisationName,
        /// Number of keys.
        count: usize,
    },
    /// Keys of an organisation belong to another one.
    KeysMoved {
        /// Organisation before.
        from: OrganisationName,
        /// Organisation now.
        to: OrganisationName,
        /// Number of keys.
        count: usize,
    },
    /// An organisation has another priority.
    PriorityChanged {
        /// The organisation.
        organisation: OrganisationName,
        /// Priority before.
        from: Option<u32>,
        /// Priority now.
        to: Option<u32>,
    },
    /// An organisation has another limit on its requests.
    QuotaChanged {
        /// The organisation.
        organisation: OrganisationName,
        /// Limit before, `None` if there was none.
        from: Option<Quota>,
        /// Limit now, `None` if there is none.
        to: Option<Quota>,
    },
}

impl ConfigurationDifference {
    /// Returns how severe the difference is: a warning if callers lose something by it.
    #[must_use]
    pub fn severity(&self) -> Severity {
        let is_loss = match self {
            Self::VersionNotRaised { .. } => return Severity::Error,
            Self::RouteRemoved { replacement, .. } => replacement.is_none(),
            Self::RouteChanged { is_loss, .. } | Self::LimitChanged { is_lower: is_loss, .. } => {
                *is_loss
            }
            Self::QuotaChanged { from, to, .. } => is_smaller(*from, *to),
            Self::KeysRequired
            | Self::KeysNotRequired
            | Self::AccessLost { .. }
            | Self::KeysRemoved { .. }
            | Self::KeysMoved { .. } => true,
            Self::RouteAdded { .. }
            | Self::RouteMoved { .. }
            | Self::ServiceAdded { .. }
            | Self::ServiceRemoved { .. }
            | Self::ServiceChanged { .. }
            | Self::OrganisationAdded { .. }
            | Self::OrganisationRemoved { .. }
            | Self::KeysAdded { .. }
            | Self::PriorityChanged { .. } => false,
        };
        if is_loss { Severity::Warning } else { Severity::Note }
    }
}

/// Returns whether the quota `to` allows less than `from` in rate or burst.
fn is_smaller(from: Option<Quota>, to: Option<Quota>) -> bool {
    match (from, to) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(from), Some(to)) => to.rate < from.rate || to.burst < from.burst,
    }
}

/// Compares a proposed configuration with the one in force; returns the differences in no
/// particular order.
#[must_use]
pub fn compare(in_force: &Configuration, proposed: &Configuration) -> Vec<ConfigurationDifference> {
    let mut differences = Vec::new();
    if proposed.version <= in_force.version && proposed != in_force {
        differences.push(ConfigurationDifference::VersionNotRaised { in_force: in_force.version });
    }
    compare_routes(in_force, proposed, &mut differences);
    compare_services(in_force, proposed, &mut differences);
    compare_limits(in_force.limits, proposed.limits, &mut differences);
    match (&in_force.organisations, &proposed.organisations) {
        (None, None) => {}
        (None, Some(_)) => differences.push(ConfigurationDifference::KeysRequired),
        (Some(_), None) => differences.push(ConfigurationDifference::KeysNotRequired),
        (Some(before), Some(now)) => compare_organisations(before, now, &mut differences),
    }
    differences
}

fn compare_routes(
    in_force: &Configuration,
    proposed: &Configuration,
    differences: &mut Vec<ConfigurationDifference>,
) {
    let before = routes_by_name(in_force);
    let now = routes_by_name(proposed);
    for (name, old) in &before {
        match now.get(name) {
            Some(new) => compare_route(old, new, differences),
            None => {
                let replacement = proposed.route(&old.host, &old.prefix);
                differences.push(ConfigurationDifference::RouteRemoved {
                    route: old.name.clone(),
                    replacement: replacement.map(|route| route.name.clone()),
                });
            }
        }
    }
    for name in now.keys().filter(|name| !before.contains_key(*name)) {
        differences.push(ConfigurationDifference::RouteAdded { route: (*name).to_string() });
    }
}

fn routes_by_name(configuration: &Configuration) -> BTreeMap<&str, &Route> {
    configuration.routes().iter().map(|route| (route.name.as_str(), route)).collect()
}

fn compare_route(old: &Route, new: &Route, differences: &mut Vec<ConfigurationDifference>) {
    let services = |route: &Route| -> BTreeSet<ServiceName> {
        route.shares.iter().map(|share| share.service.clone()).collect()
    };
    let (from, to) = (services(old), services(new));
    let is_moved = from != to;
    if is_moved {
        differences.push(ConfigurationDifference::RouteMoved {
            route: new.name.clone(),
            from: from.into_iter().collect(),
            to: to.into_iter().collect(),
        });
    }
    let changed = [
        (RouteField::Host, old.host != new.host),
        (RouteField::Prefix, old.prefix != new.prefix),
        (RouteField::Repeatable, old.repeatable != new.repeatable),
        (RouteField::Timeout, old.timeout != new.timeout),
        (RouteField::Aim, old.aim != new.aim),
        (RouteField::Priority, old.priority != new.priority),
        (RouteField::Weights, !is_moved && old.shares != new.shares),
        (RouteField::MaxAttempts, old.max_attempts != new.max_attempts),
        (RouteField::Public, old.is_public != new.is_public),
    ];
    for (field, _) in changed.into_iter().filter(|(_, is_changed)| *is_changed) {
        let is_loss = match field {
            RouteField::Host | RouteField::Prefix => true,
            RouteField::Public => !new.is_public,
            _ => false,
        };
        let route = new.name.clone();
        differences.push(ConfigurationDifference::RouteChanged { route, field, is_loss });
    }
}

fn compare_services(
    in_force: &Configuration,
    proposed: &Configuration,
    differences: &mut Vec<ConfigurationDifference>,
) {
    for (name, old) in &in_force.services {
        let service = name.clone();
        match proposed.services.get(name) {
            None => differences.push(ConfigurationDifference::ServiceRemoved { service }),
            Some(new) if new != old => {
                differences.push(ConfigurationDifference::ServiceChanged { service });
            }
            Some(_) => {}
        }
    }
    for name in proposed.services.keys().filter(|name| !in_force.services.contains_key(*name)) {
        differences.push(ConfigurationDifference::ServiceAdded { service: name.clone() });
    }
}

fn compare_limits(
    old: CallerLimits,
    new: CallerLimits,
    differences: &mut Vec<ConfigurationDifference>,
) {
    let orders = [
        (LimitField::HeaderBytes, new.header_bytes.cmp(&old.header_bytes)),
        (LimitField::BodyBytes, new.body_bytes.cmp(&old.body_bytes)),
        (LimitField::HeaderTimeout, new.header_timeout.cmp(&old.header_timeout)),
        (LimitField::IdleTimeout, new.idle_timeout.cmp(&old.idle_timeout)),
    ];
    for (field, order) in orders.into_iter().filter(|(_, order)| order.is_ne()) {
        let is_lower = order.is_lt();
        differences.push(ConfigurationDifference::LimitChanged { field, is_lower });
    }
}
