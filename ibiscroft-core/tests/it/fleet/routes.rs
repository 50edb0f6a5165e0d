//! Selection of routes, and distribution of requests over services by weight.

use std::collections::BTreeMap;

use ibiscroft_core::fleet::TrafficSplit;

use super::world::{configuration, route};

#[test]
fn longest_matching_prefix_of_the_host_is_selected() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let cases = [
        Case { host: "a.example", path: "/x/", route: Some("short") },
        Case { host: "a.example", path: "/x/y", route: Some("short") },
        Case { host: "a.example", path: "/x/y/", route: Some("long") },
        Case { host: "A.Example", path: "/x/y/z", route: Some("long") },
        Case { host: "a.example", path: "/x", route: None },
        Case { host: "a.example", path: "/X/", route: None },
        Case { host: "a.example", path: "/%78/", route: None },
        Case { host: "a.example", path: "//x/", route: None },
        Case { host: "b.example", path: "/x/y/", route: Some("other") },
        Case { host: "c.example", path: "/x/", route: None },
    ];
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1.0)]),
        route("long", "a.example", "/x/y/", &[("s", 1.0)]),
        route("other", "b.example", "/x/", &[("s", 1.0)]),
    ];
    let configuration = configuration(1, routes);
    for case in cases {
        let selected = configuration.route(case.host, case.path).map(|route| route.name.as_str());
        assert_eq!(selected, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn services_get_requests_in_proportion_to_their_weights() {
    struct Case {
        shares: &'static [(&'static str, f64)],
        requests: u32,
    }
    let cases = [
        Case { shares: &[("a", 90.0), ("b", 10.0)], requests: 200 },
        Case { shares: &[("a", 1.0), ("b", 1.0), ("c", 1.0)], requests: 30 },
        Case { shares: &[("a", 3.0), ("b", 0.0)], requests: 20 },
        Case { shares: &[("a", 5.0)], requests: 7 },
    ];
    for case in cases {
        for initial_credit in [0.0, 0.5, 0.99] {
            let route = route("r", "h", "/", case.shares);
            let mut split = TrafficSplit::default();
            let mut counts: BTreeMap<String, u32> = BTreeMap::new();
            for _ in 0..case.requests {
                let service = split.next(&route, initial_credit).unwrap();
                *counts.entry(service.to_string()).or_default() += 1;
            }
            let total: f64 = case.shares.iter().map(|(_, weight)| weight).sum();
            for (service, weight) in case.shares {
                let expected = f64::from(case.requests) * weight / total;
                let actual = f64::from(counts.get(*service).copied().unwrap_or(0));
                let difference = (actual - expected).abs();
                assert!(
                    difference <= 2.0,
                    "{service}: {actual} requests, expected {expected}, from {initial_credit}"
                );
            }
        }
    }
}

#[test]
fn route_without_services_selects_no_service() {
    assert_eq!(TrafficSplit::default().next(&route("r", "h", "/", &[]), 0.0), None);
}
