//! Selection of the targets to probe where new connections are expensive.

use std::collections::BTreeMap;

use ibiscroft_core::fleet::{new_connections, probe_order};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const TARGETS: usize = 46;
const REQUESTS: u64 = 600;
/// Time between two requests, in milliseconds.
const INTERVAL_MS: u64 = 400;
/// Idle time after which a connection is closed, in milliseconds.
const IDLE_LIMIT_MS: u64 = 8_000;

#[test]
fn new_connections_are_limited_only_beside_open_ones() {
    struct Case {
        open: usize,
        new: usize,
        allowed: usize,
    }
    let cases = [
        Case { open: 0, new: 2, allowed: 2 },
        Case { open: 1, new: 1, allowed: 1 },
        Case { open: 1, new: 3, allowed: 1 },
        Case { open: 4, new: 0, allowed: 0 },
    ];
    for Case { open, new, allowed } in cases {
        assert_eq!(new_connections(open, new), allowed, "{open} open, {new} new");
    }
}

#[test]
fn slow_target_comes_after_one_without_a_connection() {
    let mut orders = [(true, true), (false, false), (true, false), (false, true)]
        .map(|(s, o)| probe_order(s, o));
    orders.sort_unstable();
    let expected = [(false, true), (false, false), (true, true), (true, false)]
        .map(|(s, o)| probe_order(s, o));
    assert_eq!(orders, expected);
}

/// A gateway with few requests and many targets, a quarter of which are slow at any time, as on a
/// site where each of 50 gateways sends some requests a second to each service.
#[test]
fn gateway_with_many_targets_opens_less_than_one_connection_for_four_requests() {
    let reused = opened_connections(true);
    let spread = opened_connections(false);
    assert!(reused * 4 < REQUESTS, "{reused} new connections for {REQUESTS} requests");
    assert!(spread > 2 * reused, "{spread} connections without preference, {reused} with it");
}

/// Returns the number of connections that a gateway opens.
fn opened_connections(prefers_open: bool) -> u64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut used_at: BTreeMap<usize, u64> = BTreeMap::new();
    let mut opened = 0;
    for request in 0..REQUESTS {
        let now = request * INTERVAL_MS;
        used_at.retain(|_, at| now - *at < IDLE_LIMIT_MS);
        let mut order: Vec<usize> = (0..TARGETS).collect();
        order.shuffle(&mut rng);
        if prefers_open {
            order.sort_by_key(|target| probe_order(false, used_at.contains_key(target)));
        }
        let mut rest = order.into_iter();
        for size in [2, 4, 4, 4] {
            let round: Vec<usize> = rest.by_ref().take(size).collect();
            let (open, new): (Vec<usize>, Vec<usize>) =
                round.into_iter().partition(|target| used_at.contains_key(target));
            let limit =
                if prefers_open { new_connections(open.len(), new.len()) } else { new.len() };
            let probed = open.into_iter().chain(new.into_iter().take(limit));
            let mut is_found = false;
            for target in probed {
                opened += u64::from(used_at.insert(target, now).is_none());
                is_found |= rng.random_bool(0.75);
            }
            if is_found {
                break;
            }
        }
    }
    opened
}
