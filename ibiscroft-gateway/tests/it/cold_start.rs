//! Cold start with gateway processes, checked by the backend servers' counters.
//!
//! A cold target may receive only as many requests at once as its cold capacity, over all gateways
//! together. A backend server counts each request above its cold capacity as a violation.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ibiscroft_lab::backend::{Backend, BackendControl, BackendOptions, ResponseFaults};
use ibiscroft_lab::store::StoreFaults;
use rand::Rng;
use tokio::task::JoinHandle;

use crate::support::{Fleet, FleetOptions, wait_for, wait_within};

/// Concurrent requests that a cold backend server can take.
const COLD_CAPACITY: usize = 2;
/// Time with traffic until a backend server is warm.
const WARM_UP_TIME: Duration = Duration::from_millis(400);
/// Timeout of a caller for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait until every gateway has proved every target warm, on a machine shared with others.
const PROOF_TIMEOUT: Duration = Duration::from_secs(60);
/// Restarts of one target under load.
const RESTARTS: usize = 4;
/// Backoff of a caller after a failed request.
const CALLER_BACKOFF: Duration = Duration::from_millis(20);
/// Time after which the lease of a killed or paused gateway has ended and another lease holder may
/// grant permits.
const TAKEOVER_TIME: Duration = Duration::from_secs(16);

/// Concurrent callers, each of which sends its requests one after the other through random
/// gateways.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet, gateways: Range<usize>, callers: usize) -> Self {
        let gateways: Vec<SocketAddr> =
            fleet.gateways[gateways].iter().map(|gateway| gateway.callers).collect();
        let mut load = Self {
            stop: Arc::default(),
            served: Arc::default(),
            failed: Arc::default(),
            callers: Vec::new(),
        };
        for _ in 0..callers {
            let call = call_until_stopped(
                fleet.http.clone(),
                gateways.clone(),
                Arc::clone(&load.stop),
                Arc::clone(&load.served),
                Arc::clone(&load.failed),
            );
            load.callers.push(tokio::spawn(call));
        }
        load
    }

    /// Stops the callers; returns how many requests succeeded and how many failed.
    async fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
        (self.served.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }
}

async fn call_until_stopped(
    http: reqwest::Client,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
) {
    while !stop.load(Ordering::Relaxed) {
        let gateway = gateways[rand::rng().random_range(0..gateways.len())];
        let req = http.get(format!("http://{gateway}/x?work_ms=4"));
        let res = req.timeout(CALLER_TIMEOUT).send().await;
        if let Ok(res) = res
            && res.status().is_success()
            && res.bytes().await.is_ok()
        {
            served.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        failed.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CALLER_BACKOFF).await;
    }
}

/// Returns the options of a cold backend server, on a random loopback address of its own.
///
/// On an address that only it uses, no other process takes its port between its stop and its next
/// start.
fn cold_options() -> BackendOptions {
    let [high, low] = rand::rng().random::<[u8; 2]>();
    BackendOptions {
        listen: SocketAddr::from(([127, 18, high, low.max(1)], 0)),
        cold_capacity: COLD_CAPACITY,
        warm_up: WARM_UP_TIME,
        ..BackendOptions::default()
    }
}

async fn start_cold(gateways: usize, backends: usize) -> Fleet {
    let mut options = FleetOptions::new(gateways, backends);
    options.backends = (0..backends).map(|_| cold_options()).collect();
    options.starts_cold = true;
    Fleet::start(options).await
}

/// Stops a backend server without draining it and starts a new run at the same address.
async fn restart(fleet: &mut Fleet, index: usize) {
    let options = BackendOptions {
        listen: fleet.backends[index].address(),
        name: format!("t{index}"),
        ..cold_options()
    };
    fleet.backends.remove(index).stop().await;
    fleet.backends.insert(index, Backend::start(options).await.unwrap());
}

/// Waits until every gateway has proved every target warm and needs no permits.
async fn wait_all_proved_warm(fleet: &Fleet, what: &str) {
    for gateway in 0..fleet.gateways.len() {
        wait_within(PROOF_TIMEOUT, what, async || fleet.has_only_warm_targets(gateway).await).await;
    }
}

/// Waits until every backend server counts itself as warm.
async fn wait_all_warm(fleet: &Fleet, what: &str) {
    wait_within(PROOF_TIMEOUT, what, async || {
        fleet.backends.iter().all(|backend| backend.counters().state == "warm")
    })
    .await;
}

/// Checks that no cold backend server received more requests at once than its cold capacity.
fn assert_within_cold_capacity(fleet: &Fleet, what: &str) {
    for backend in &fleet.backends {
        let counters = backend.counters();
        println!(
            "{what}: {} received {} requests while cold, at most {} at once, {} above capacity; \
             {} requests in total",
            counters.name,
            counters.cold_received,
            counters.cold_peak,
            counters.cold_violations,
            counters.received,
        );
        assert_eq!(counters.cold_violations, 0, "{what}: {}", counters.name);
        assert!(counters.cold_peak <= COLD_CAPACITY, "{what}: {}", counters.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn eighteen_gateways_keep_to_cold_capacity_at_starts_and_restarts() {
    let mut fleet = start_cold(18, 4).await;
    let load = Load::start(&fleet, 0..18, 48);
    wait_all_warm(&fleet, "first start").await;
    assert_within_cold_capacity(&fleet, "first start");
    for _ in 0..RESTARTS {
        wait_all_proved_warm(&fleet, "targets proved warm at each gateway").await;
        restart(&mut fleet, 0).await;
        wait_all_warm(&fleet, "one restart").await;
        assert_within_cold_capacity(&fleet, "one restart");
    }
    wait_all_proved_warm(&fleet, "targets proved warm at each gateway").await;
    for index in 0..fleet.backends.len() {
        restart(&mut fleet, index).await;
    }
    wait_all_warm(&fleet, "all restart").await;
    assert_within_cold_capacity(&fleet, "all restart");
    let (served, failed) = load.stop().await;
    println!("{served} requests succeeded, {failed} failed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cold_capacity_holds_when_lease_holders_are_killed_and_paused() {
    let mut fleet = start_cold(5, 4).await;
    let load = Load::start(&fleet, 2..5, 24);
    let load_through_lease_holders = Load::start(&fleet, 0..2, 8);
    wait_all_proved_warm(&fleet, "targets proved warm at each gateway").await;
    fleet.gateways[0].signal(libc::SIGSTOP);
    fleet.gateways[1].signal(libc::SIGKILL);
    for index in 0..fleet.backends.len() {
        restart(&mut fleet, index).await;
    }
    tokio::time::sleep(TAKEOVER_TIME).await;
    fleet.gateways[0].signal(libc::SIGCONT);
    for index in 0..fleet.backends.len() {
        assert_within_cold_capacity(&fleet, "lease holders paused and killed");
        restart(&mut fleet, index).await;
    }
    wait_all_warm(&fleet, "paused lease holder resumed").await;
    assert_within_cold_capacity(&fleet, "paused lease holder resumed");
    load.stop().await;
    load_through_lease_holders.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_cold_target_fails_no_safe_request() {
    let mut fleet = start_cold(2, 2).await;
    let load = Load::start(&fleet, 0..2, 4);
    wait_all_proved_warm(&fleet, "targets proved warm at each gateway").await;
    load.stop().await;
    restart(&mut fleet, 0).await;
    let faults =
        ResponseFaults { count: 1_000, first_byte_delay_ms: 4_000, ..ResponseFaults::default() };
    fleet.backends[0]
        .control(&BackendControl { answer_faults: Some(faults), ..BackendControl::default() });
    wait_for("cold target receives a request", async || {
        let res = fleet.request(reqwest::Method::GET, 0, "/x").send().await.unwrap();
        assert_eq!(res.status(), reqwest::StatusCode::OK);
        fleet.backends[0].counters().received > 0
    })
    .await;
    for number in 0..8 {
        let res = fleet.request(reqwest::Method::GET, 0, "/x").send().await.unwrap();
        assert_eq!(res.status(), reqwest::StatusCode::OK, "request {number}");
    }
    assert_within_cold_capacity(&fleet, "slow cold target");
}

/// Gateways learn that a running target has turned cold only from its next response, so requests
/// sent before cannot be held back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn target_that_turns_cold_while_running_gets_at_most_the_requests_in_flight() {
    let fleet = start_cold(6, 3).await;
    let load = Load::start(&fleet, 0..6, 24);
    wait_all_proved_warm(&fleet, "targets proved warm at each gateway").await;
    let backend = &fleet.backends[0];
    backend.control(&BackendControl { cold: Some(true), ..BackendControl::default() });
    for gateway in 0..fleet.gateways.len() {
        wait_for("gateway counts the target as cold", async || {
            fleet.dump(gateway).await["targets"][0]["state"] == "cold"
                || backend.counters().state == "warm"
        })
        .await;
    }
    let counters = backend.counters();
    println!(
        "turned cold: {} requests above its capacity, at most {} at once",
        counters.cold_violations, counters.cold_peak
    );
    // Each of the 24 callers has one request in flight, so no more can reach the target at once.
    assert!(counters.cold_peak <= 24);
    wait_all_warm(&fleet, "warm again").await;
    load.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn store_outage_stops_permits_but_not_traffic_to_warm_targets() {
    let mut fleet = start_cold(3, 2).await;
    let load = Load::start(&fleet, 0..3, 12);
    wait_all_proved_warm(&fleet, "targets proved warm at each gateway").await;
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for gateway in 0..fleet.gateways.len() {
        wait_for("gateway may not grant permits", async || {
            fleet.dump(gateway).await["permits"]["active"] == false
        })
        .await;
    }
    restart(&mut fleet, 0).await;
    let before = fleet.backends[1].counters().received;
    wait_for("warm target receives further requests", async || {
        fleet.backends[1].counters().received > before + 500
    })
    .await;
    assert_eq!(fleet.backends[0].counters().received, 0);
    let slow = StoreFaults { delay_ms: 300, lose_answers: 5, ..StoreFaults::default() };
    fleet.store.set_faults(slow);
    wait_all_warm(&fleet, "store available again").await;
    assert_within_cold_capacity(&fleet, "store available again, slow, with lost responses");
    load.stop().await;
}
