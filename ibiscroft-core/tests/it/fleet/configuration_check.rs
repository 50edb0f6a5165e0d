//! Checks of a configuration, alone and against the one in force.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::fleet::configuration_check::{
    ConfigurationDifference, ConfigurationIssue, LimitField, RouteField, Severity, check, compare,
};
use ibiscroft_core::fleet::{
    Configuration, KeyDigest, OrganisationPolicy, Organisations, Quota, Repeatable, Route,
    ServicePolicy,
};
use ibiscroft_core::ids::{Connections, Generation, OrganisationName, ServiceName};

use super::world::{configuration, route};

/// Returns a configuration with these routes and the services `a` and `b`.
fn with_services(version: u64, routes: Vec<Route>) -> Configuration {
    let policy = ServicePolicy {
        health_path: "/healthz".to_string(),
        max_connections: Connections(220),
        cold_rate: 20.0,
    };
    let services = ["a", "b"].map(|name| (ServiceName::new(name), policy.clone()));
    let mut configuration = configuration(version, routes);
    configuration.services = BTreeMap::from(services);
    configuration
}

/// Returns the routes `r-1` to `a` and `r-2` to `b`; the first one is changed by `change`.
fn changed(change: impl Fn(&mut Route)) -> Vec<Route> {
    let mut first = route("r-1", "x.example", "/a/", &[("a", 1.0)]);
    change(&mut first);
    vec![first, route("r-2", "x.example", "/b/", &[("b", 1.0)])]
}

/// Name, priority, rate, burst and keys of an organisation.
type Entry<'a> = (&'a str, Option<u32>, f64, f64, &'a [&'a str]);

/// Returns organisations with their keys; a rate of 0 is no limit.
fn organisations(entries: &[Entry<'_>]) -> Organisations {
    let mut organisations = Organisations::default();
    for (name, priority, rate, burst, keys) in entries {
        let quota = (*rate > 0.0).then_some(Quota { rate: *rate, burst: *burst });
        let policy = OrganisationPolicy { priority: *priority, quota };
        let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        organisations.insert(&OrganisationName::new(*name), policy, keys);
    }
    organisations
}

#[test]
fn each_fault_of_a_route_is_found_and_nothing_else() {
    struct Case {
        name: &'static str,
        change: fn(&mut Route),
        issue: Option<(ConfigurationIssue, Severity)>,
    }
    let name = || "r-1".to_string();
    let found = |issue, severity| Some((issue, severity));
    let cases = [
        Case { name: "sound", change: |_| {}, issue: None },
        Case {
            name: "no first slash",
            change: |route| route.prefix = "c/".to_string(),
            issue: found(ConfigurationIssue::MalformedPrefix { route: name() }, Severity::Error),
        },
        Case {
            name: "aim equal to the timeout",
            change: |route| route.aim = route.timeout,
            issue: None,
        },
        Case {
            name: "aim beyond the timeout",
            change: |route| route.aim = Duration::from_millis(501),
            issue: found(ConfigurationIssue::AimBeyondTimeout { route: name() }, Severity::Warning),
        },
        Case {
            name: "timeout beyond the idle timeout",
            change: |route| route.timeout = Duration::from_millis(15_001),
            issue: found(
                ConfigurationIssue::TimeoutBeyondIdle { route: name() },
                Severity::Warning,
            ),
        },
        Case {
            name: "no time",
            change: |route| route.timeout = Duration::ZERO,
            issue: found(ConfigurationIssue::ZeroTimeout { route: name() }, Severity::Warning),
        },
        Case {
            name: "host with a port",
            change: |route| route.host = "x.example:80".to_string(),
            issue: found(ConfigurationIssue::PortInHost { route: name() }, Severity::Warning),
        },
        Case {
            name: "one attempt",
            change: |route| route.max_attempts = 1,
            issue: found(ConfigurationIssue::SingleAttempt { route: name() }, Severity::Note),
        },
        Case {
            name: "one attempt where requests must not be repeated",
            change: |route| {
                route.max_attempts = 1;
                route.repeatable = Repeatable::No;
            },
            issue: None,
        },
        Case {
            name: "weight below 0",
            change: |route| route.shares[0].weight = -1.0,
            issue: found(
                ConfigurationIssue::NegativeWeight { route: name(), share: 0 },
                Severity::Error,
            ),
        },
        Case {
            name: "the only weight is 0",
            change: |route| route.shares[0].weight = 0.0,
            issue: found(
                ConfigurationIssue::ZeroWeight { route: name(), share: 0, is_served: true },
                Severity::Warning,
            ),
        },
    ];
    for case in cases {
        let issues = check(&with_services(1, changed(case.change)));
        let issues: Vec<_> =
            issues.into_iter().map(|issue| (issue.clone(), issue.severity())).collect();
        assert_eq!(issues, Vec::from_iter(case.issue), "{}", case.name);
    }
}

/// Guards against a route that is named as hidden although requests reach it, and the reverse: the
/// verdict must be that of `Configuration::route`.
#[test]
fn hidden_route_is_the_one_that_no_request_reaches() {
    let routes = vec![
        route("r-1", "x.example", "/a/", &[("a", 1.0)]),
        route("r-2", "x.example", "/a/b/", &[("b", 1.0)]),
        route("r-3", "y.example", "/a/", &[("a", 1.0)]),
        route("r-4", "X.example", "/a/", &[("b", 1.0)]),
        route("r-5", "y.example", "/a/", &[("a", 1.0)]),
    ];
    let configuration = with_services(1, routes);
    let mut hidden = Vec::new();
    for route in configuration.routes() {
        let reached = configuration.route(&route.host, &route.prefix).unwrap();
        if reached.name != route.name {
            let (route, by) = (route.name.clone(), reached.name.clone());
            hidden.push(ConfigurationIssue::HiddenRoute { route, by });
        }
    }
    assert_eq!(hidden.len(), 2);
    assert_eq!(check(&configuration), hidden);
}

#[test]
fn services_that_are_unknown_or_unused_are_found() {
    let routes = vec![route("r-1", "x.example", "/a/", &[("a", 1.0), ("c", 1.0), ("b", 0.0)])];
    let service = ServiceName::new("c");
    let unknown =
        ConfigurationIssue::UnknownService { route: "r-1".to_string(), share: 1, service };
    let zero =
        ConfigurationIssue::ZeroWeight { route: "r-1".to_string(), share: 2, is_served: false };
    assert_eq!(check(&with_services(1, routes)), [unknown, zero]);
    let routes = vec![route("r-1", "x.example", "/a/", &[("a", 1.0)])];
    let unused = ConfigurationIssue::UnusedService { service: ServiceName::new("b") };
    assert_eq!(check(&with_services(1, routes)), [unused]);
}

#[test]
fn faults_of_organisations_and_limits_are_found() {
    let mut configuration = with_services(1, changed(|_| {})).with_organisations(organisations(&[
        ("o-1", None, 5.0, 0.9, &["k-1"]),
        ("o-2", None, 5.0, 1.0, &["k-2"]),
        ("o-3", None, 0.0, 0.0, &["k-1"]),
    ]));
    configuration.limits.header_timeout = Duration::from_secs(16);
    assert_eq!(
        check(&configuration),
        [
            ConfigurationIssue::HeaderTimeoutBeyondIdle,
            ConfigurationIssue::BurstBelowOne { organisation: OrganisationName::new("o-1") },
            ConfigurationIssue::OrganisationWithoutKeys {
                organisation: OrganisationName::new("o-3")
            },
        ]
    );
}

/// Guards against notes about priorities where routes are all that sets them apart.
#[test]
fn common_priority_is_noted_only_if_organisations_differ() {
    let entries = |second| {
        organisations(&[("o-1", Some(1), 0.0, 0.0, &["k-1"]), ("o-2", second, 0.0, 0.0, &["k-2"])])
    };
    let routes = changed(|route| route.priority = 0);
    let noted =
        |second| check(&with_services(1, routes.clone()).with_organisations(entries(second)));
    let note = ConfigurationIssue::CommonPriority { route: "r-2".to_string() };
    assert_eq!(noted(Some(1)), []);
    assert_eq!(noted(Some(0)), std::slice::from_ref(&note));
    assert_eq!(noted(None), [note]);
    let mut routes = routes.clone();
    routes.push(route("r-3", "x.example", "/c/", &[("b", 1.0)]));
    routes[2].priority = 1;
    assert_eq!(check(&with_services(1, routes).with_organisations(entries(None))), []);
}

#[test]
fn equal_configurations_do_not_differ() {
    let configuration = with_services(7, changed(|_| {}));
    assert_eq!(compare(&configuration, &configuration), []);
    let mut newer = configuration.clone();
    newer.version = Generation(8);
    assert_eq!(compare(&configuration, &newer), []);
    let in_force = Generation(8);
    let not_raised = ConfigurationDifference::VersionNotRaised { in_force };
    assert_eq!(compare(&newer, &configuration), [not_raised]);
}

#[test]
fn loss_of_callers_is_a_warning() {
    let old = with_services(1, changed(|route| route.is_public = true));
    let mut new = with_services(2, changed(|route| route.prefix = "/c/".to_string()));
    new.limits.body_bytes -= 1;
    new.limits.idle_timeout *= 2;
    let differences = compare(&old, &new);
    let severities = differences.iter().map(ConfigurationDifference::severity);
    let changed = |field| {
        let route = "r-1".to_string();
        ConfigurationDifference::RouteChanged { route, field, is_loss: true }
    };
    let limit = |field, is_lower| ConfigurationDifference::LimitChanged { field, is_lower };
    assert_eq!(
        differences.iter().cloned().zip(severities).collect::<Vec<_>>(),
        [
            (changed(RouteField::Prefix), Severity::Warning),
            (changed(RouteField::Public), Severity::Warning),
            (limit(LimitField::BodyBytes, true), Severity::Warning),
            (limit(LimitField::IdleTimeout, false), Severity::Note),
        ]
    );
}

/// Guards against counts that do not agree with which keys are accepted.
#[test]
fn keys_are_counted_by_whether_they_are_accepted() {
    let before = organisations(&[
        ("o-1", None, 0.0, 0.0, &["k-1", "k-2"]),
        ("o-2", None, 0.0, 0.0, &["k-3"]),
        ("o-3", None, 0.0, 0.0, &["k-4", "k-5"]),
    ]);
    let now = organisations(&[
        ("o-1", None, 0.0, 0.0, &["k-1", "k-5", "k-6"]),
        ("o-2", None, 0.0, 0.0, &["k-7"]),
    ]);
    let differences = compare(
        &with_services(1, changed(|_| {})).with_organisations(before),
        &with_services(2, changed(|_| {})).with_organisations(now),
    );
    let [first, second, third] = ["o-1", "o-2", "o-3"].map(OrganisationName::new);
    let added = |organisation| ConfigurationDifference::KeysAdded { organisation, count: 1 };
    let removed = |organisation| ConfigurationDifference::KeysRemoved { organisation, count: 1 };
    assert_eq!(
        differences,
        [
            added(first.clone()),
            removed(first.clone()),
            added(second.clone()),
            removed(second.clone()),
            ConfigurationDifference::AccessLost { organisation: second, has_new_keys: true },
            ConfigurationDifference::OrganisationRemoved { organisation: third.clone() },
            removed(third.clone()),
            ConfigurationDifference::KeysMoved { from: third, to: first, count: 1 },
        ]
    );
}

#[test]
fn quota_that_shrinks_is_a_warning() {
    struct Case {
        /// Rate and burst before and now; a rate of 0 is no limit.
        quotas: [(f64, f64); 2],
        severity: Option<Severity>,
    }
    let cases = [
        Case { quotas: [(5.0, 9.0), (5.0, 9.0)], severity: None },
        Case { quotas: [(5.0, 9.0), (6.0, 9.0)], severity: Some(Severity::Note) },
        Case { quotas: [(5.0, 9.0), (6.0, 8.0)], severity: Some(Severity::Warning) },
        Case { quotas: [(5.0, 9.0), (4.0, 99.0)], severity: Some(Severity::Warning) },
        Case { quotas: [(0.0, 0.0), (900.0, 900.0)], severity: Some(Severity::Warning) },
        Case { quotas: [(5.0, 9.0), (0.0, 0.0)], severity: Some(Severity::Note) },
    ];
    for Case { quotas, severity } in cases {
        let [old, mut new] = quotas.map(|(rate, burst)| {
            let entries = organisations(&[("o-1", None, rate, burst, &["k-1"])]);
            with_services(1, changed(|_| {})).with_organisations(entries)
        });
        new.version = Generation(2);
        let differences = compare(&old, &new);
        let severities = differences.iter().map(ConfigurationDifference::severity);
        assert_eq!(severities.collect::<Vec<_>>(), Vec::from_iter(severity), "{quotas:?}");
    }
}
