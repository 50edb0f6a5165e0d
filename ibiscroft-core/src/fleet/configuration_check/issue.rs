//! Entries without effect and settings that contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use super::Severity;
use crate::data;
use crate::fleet::{Configuration, Organisations, Route};
use crate::ids::{OrganisationName, ServiceName};

data! {
    /// Finding about one configuration; routes are given by name, services of a route by their
    /// position among its shares.
    pub enum ConfigurationIssue {
        /// The prefix of a route does not begin and end with a slash.
        MalformedPrefix {
            /// The route.
            route: String,
        },
        /// The host of a route has a port; requests are matched without.
        PortInHost {
            /// The route.
            route: String,
        },
        /// A route sends requests to a service that the configuration does not have.
        UnknownService {
            /// The route.
            route: String,
            /// Position of the service.
            share: usize,
            /// The service.
            service: ServiceName,
        },
        /// The weight of a service is below 0.
        NegativeWeight {
            /// The route.
            route: String,
            /// Position of the service.
            share: usize,
        },
        /// The weight of a service is 0.
        ZeroWeight {
            /// The route.
            route: String,
            /// Position of the service.
            share: usize,
            /// Whether the service gets all requests of the route, as no service has a weight.
            is_served: bool,
        },
        /// No request matches a route, as another one has the same host and prefix.
        HiddenRoute {
            /// The route.
            route: String,
            /// The other route.
            by: String,
        },
        /// No route sends requests to a service.
        UnusedService {
            /// The service.
            service: ServiceName,
        },
        /// No key belongs to an organisation.
        OrganisationWithoutKeys {
            /// The organisation.
            organisation: OrganisationName,
        },
        /// All requests of a route time out at once.
        ZeroTimeout {
            /// The route.
            route: String,
        },
        /// The latency objective of a route is beyond its timeout.
        AimBeyondTimeout {
            /// The route.
            route: String,
        },
        /// The timeout of a route is beyond the idle timeout of callers' connections.
        TimeoutBeyondIdle {
            /// The route.
            route: String,
        },
        /// The header of a request may take longer than connections may be idle.
        HeaderTimeoutBeyondIdle,
        /// The burst of a quota is less than one request.
        BurstBelowOne {
            /// The organisation.
            organisation: OrganisationName,
        },
        /// A route allows one attempt although its requests may be repeated.
        SingleAttempt {
            /// The route.
            route: String,
        },
        /// A route has a priority that all routes of its services have, while the priorities of
        /// organisations differ.
        CommonPriority {
            /// The route.
            route: String,
        },
    }
}

impl ConfigurationIssue {
    /// Returns how severe the finding is.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::MalformedPrefix { .. }
            | Self::UnknownService { .. }
            | Self::NegativeWeight { .. } => Severity::Error,
            Self::PortInHost { .. }
            | Self::ZeroWeight { .. }
            | Self::HiddenRoute { .. }
            | Self::UnusedService { .. }
            | Self::OrganisationWithoutKeys { .. }
            | Self::ZeroTimeout { .. }
            | Self::AimBeyondTimeout { .. }
            | Self::TimeoutBeyondIdle { .. }
            | Self::HeaderTimeoutBeyondIdle
            | Self::BurstBelowOne { .. } => Severity::Warning,
            Self::SingleAttempt { .. } | Self::CommonPriority { .. } => Severity::Note,
        }
    }
}

/// Checks a configuration; returns the findings in no particular order.
#[must_use]
pub fn check(configuration: &Configuration) -> Vec<ConfigurationIssue> {
    let mut issues = Vec::new();
    for route in configuration.routes() {
        check_route(configuration, route, &mut issues);
        check_shares(configuration, route, &mut issues);
    }
    check_hidden_routes(configuration.routes(), &mut issues);
    check_unused_services(configuration, &mut issues);
    if configuration.limits.header_timeout > configuration.limits.idle_timeout {
        issues.push(ConfigurationIssue::HeaderTimeoutBeyondIdle);
    }
    if let Some(organisations) = &configuration.organisations {
        check_organisations(organisations, &mut issues);
        check_priorities(configuration.routes(), organisations, &mut issues);
    }
    issues
}

fn check_route(configuration: &Configuration, route: &Route, issues: &mut Vec<ConfigurationIssue>) {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        issues.push(ConfigurationIssue::MalformedPrefix { route: name() });
    }
    if has_port(&route.host) {
        issues.push(ConfigurationIssue::PortInHost { route: name() });
    }
    if route.timeout.is_zero() {
        issues.push(ConfigurationIssue::ZeroTimeout { route: name() });
    } else if route.aim > route.timeout {
        issues.push(ConfigurationIssue::AimBeyondTimeout { route: name() });
    }
    if route.timeout > configuration.limits.idle_timeout {
        issues.push(ConfigurationIssue::TimeoutBeyondIdle { route: name() });
    }
    if route.repeatable.is_repeatable() && route.max_attempts == 1 {
        issues.push(ConfigurationIssue::SingleAttempt { route: name() });
    }
}

fn has_port(host: &str) -> bool {
    let port = host.rsplit_once(':').map(|(_, port)| port);
    port.is_some_and(|port| port.bytes().all(|byte| byte.is_ascii_digit()))
}

fn check_shares(
    configuration: &Configuration,
    route: &Route,
    issues: &mut Vec<ConfigurationIssue>,
) {
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    for (position, share) in route.shares.iter().enumerate() {
        let name = route.name.clone();
        if share.weight < 0.0 {
            issues.push(ConfigurationIssue::NegativeWeight { route: name, share: position });
        } else if share.weight == 0.0 {
            // Without weights, and also if there is only one service, the first one is selected.
            let is_served = position == 0 && (total <= 0.0 || route.shares.len() == 1);
            issues.push(ConfigurationIssue::ZeroWeight { route: name, share: position, is_served });
        }
        if !configuration.services.contains_key(&share.service) {
            issues.push(ConfigurationIssue::UnknownService {
                route: route.name.clone(),
                share: position,
                service: share.service.clone(),
            });
        }
    }
}

fn check_hidden_routes(routes: &[Route], issues: &mut Vec<ConfigurationIssue>) {
    let mut first: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        let by = *first.entry(key).or_insert(&route.name);
        if by != route.name {
            let by = by.to_string();
            issues.push(ConfigurationIssue::HiddenRoute { route: route.name.clone(), by });
        }
    }
}

fn check_unused_services(configuration: &Configuration, issues: &mut Vec<ConfigurationIssue>) {
    let shares = configuration.routes().iter().flat_map(|route| &route.shares);
    let used: BTreeSet<&ServiceName> = shares.map(|share| &share.service).collect();
    for service in configuration.services.keys() {
        if !used.contains(service) {
            issues.push(ConfigurationIssue::UnusedService { service: service.clone() });
        }
    }
}

fn check_organisations(organisations: &Organisations, issues: &mut Vec<ConfigurationIssue>) {
    let holders: BTreeSet<&OrganisationName> = organisations.keys().map(|(_, name)| name).collect();
    for (name, policy) in organisations.policies() {
        let organisation = name.clone();
        if !holders.contains(name) {
            issues.push(ConfigurationIssue::OrganisationWithoutKeys { organisation });
        } else if policy.quota.is_some_and(|quota| quota.burst < 1.0) {
            issues.push(ConfigurationIssue::BurstBelowOne { organisation });
        }
    }
}

fn check_priorities(
    routes: &[Route],
    organisations: &Organisations,
    issues: &mut Vec<ConfigurationIssue>,
) {
    let of_organisations: BTreeSet<Option<u32>> =
        organisations.policies().map(|(_, policy)| policy.priority).collect();
    if of_organisations.len() < 2 {
        return;
    }
    let mut of_services: BTreeMap<&ServiceName, BTreeSet<u32>> = BTreeMap::new();
    for route in routes {
        for share in &route.shares {
            of_services.entry(&share.service).or_default().insert(route.priority);
        }
    }
    for route in routes {
        let mut priorities =
            route.shares.iter().filter_map(|share| of_services.get(&share.service));
        // 0 is also the priority of routes that state none.
        if route.priority > 0 && priorities.all(|priorities| priorities.len() == 1) {
            issues.push(ConfigurationIssue::CommonPriority { route: route.name.clone() });
        }
    }
}
