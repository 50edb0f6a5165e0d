//! Cold start with gateway processes, judged by what the backend servers counted.

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

/// Requests at once that a cold backend server bears.
const BEARS: usize = 2;
/// Time with traffic until a backend server is warm.
const WARM_UP: Duration = Duration::from_millis(400);
/// Longest time a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait until many gateways have proved many targets, on a machine shared with others.
const PROOF_LIMIT: Duration = Duration::from_secs(60);
/// Restarts of one target under load.
const RESTARTS: usize = 4;
/// Pause of a caller that was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Time after which an instance's lease has ended and another holder may grant.
const TAKEOVER: Duration = Duration::from_secs(16);

/// Callers that send one request after the other through random gateways.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn begin(fleet: &Fleet, gateways: Range<usize>, callers: usize) -> Self {
        let gateways: Vec<SocketAddr> =
            fleet.gateways[gateways].iter().map(|gateway| gateway.callers).collect();
        let mut load = Self {
            stop: Arc::default(),
            served: Arc::default(),
            refused: Arc::default(),
            callers: Vec::new(),
        };
        for _ in 0..callers {
            let call = call_until_stopped(
                fleet.http.clone(),
                gateways.clone(),
                Arc::clone(&load.stop),
                Arc::clone(&load.served),
                Arc::clone(&load.refused),
            );
            load.callers.push(tokio::spawn(call));
        }
        load
    }

    async fn end(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
        (self.served.load(Ordering::Relaxed), self.refused.load(Ordering::Relaxed))
    }
}

async fn call_until_stopped(
    http: reqwest::Client,
    gateways: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
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
        refused.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(REFUSED_PAUSE).await;
    }
}

/// Options of a cold backend server, on a loopback address of its own.
///
/// Nobody else takes its port between its end and its next start.
fn cold_options() -> BackendOptions {
    let [high, low] = rand::rng().random::<[u8; 2]>();
    BackendOptions {
        listen: SocketAddr::from(([127, 18, high, low.max(1)], 0)),
        cold_capacity: BEARS,
        warm_up: WARM_UP,
        ..BackendOptions::default()
    }
}

async fn start_cold(gateways: usize, backends: usize) -> Fleet {
    let mut options = FleetOptions::new(gateways, backends);
    options.backends = (0..backends).map(|_| cold_options()).collect();
    options.starts_cold = true;
    Fleet::start(options).await
}

/// Ends the process of a backend server without warning and starts it again at its address.
async fn restart(fleet: &mut Fleet, index: usize) {
    let options = BackendOptions {
        listen: fleet.backends[index].address(),
        name: format!("t{index}"),
        ..cold_options()
    };
    fleet.backends.remove(index).stop().await;
    fleet.backends.insert(index, Backend::start(options).await.unwrap());
}

/// Waits until every gateway sends to every target without a permit.
async fn wait_all_proved(fleet: &Fleet, what: &str) {
    for gateway in 0..fleet.gateways.len() {
        wait_within(PROOF_LIMIT, what, async || fleet.has_only_warm_targets(gateway).await).await;
    }
}

async fn wait_all_warm(fleet: &Fleet, what: &str) {
    wait_within(PROOF_LIMIT, what, async || {
        fleet.backends.iter().all(|backend| backend.counters().state == "warm")
    })
    .await;
}

fn assert_borne(fleet: &Fleet, what: &str) {
    for backend in &fleet.backends {
        let counters = backend.counters();
        println!(
            "{what}: {} received {} cold, at most {} at once, {} over; {} in all",
            counters.name,
            counters.cold_received,
            counters.cold_peak,
            counters.cold_violations,
            counters.received,
        );
        assert_eq!(counters.cold_violations, 0, "{what}: {}", counters.name);
        assert!(counters.cold_peak <= BEARS, "{what}: {}", counters.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn eighteen_gateways_spare_targets_that_start_and_restart() {
    let mut fleet = start_cold(18, 4).await;
    let load = Load::begin(&fleet, 0..18, 48);
    wait_all_warm(&fleet, "first start").await;
    assert_borne(&fleet, "first start");
    for _ in 0..RESTARTS {
        wait_all_proved(&fleet, "proof at each gateway").await;
        restart(&mut fleet, 0).await;
        wait_all_warm(&fleet, "one restart").await;
        assert_borne(&fleet, "one restart");
    }
    wait_all_proved(&fleet, "proof at each gateway").await;
    for index in 0..fleet.backends.len() {
        restart(&mut fleet, index).await;
    }
    wait_all_warm(&fleet, "all restart").await;
    assert_borne(&fleet, "all restart");
    let (served, refused) = load.end().await;
    println!("served {served}, refused {refused}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_and_frozen_holders_give_no_permit_twice() {
    let mut fleet = start_cold(5, 4).await;
    let load = Load::begin(&fleet, 2..5, 24);
    let lost_load = Load::begin(&fleet, 0..2, 8);
    wait_all_proved(&fleet, "proof at each gateway").await;
    fleet.gateways[0].signal(libc::SIGSTOP);
    fleet.gateways[1].signal(libc::SIGKILL);
    for index in 0..fleet.backends.len() {
        restart(&mut fleet, index).await;
    }
    tokio::time::sleep(TAKEOVER).await;
    fleet.gateways[0].signal(libc::SIGCONT);
    for index in 0..fleet.backends.len() {
        assert_borne(&fleet, "holders frozen and killed");
        restart(&mut fleet, index).await;
    }
    wait_all_warm(&fleet, "holder back").await;
    assert_borne(&fleet, "holder back");
    load.end().await;
    lost_load.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cold_target_that_takes_too_long_costs_no_safe_request() {
    let mut fleet = start_cold(2, 2).await;
    let load = Load::begin(&fleet, 0..2, 4);
    wait_all_proved(&fleet, "proof at each gateway").await;
    load.end().await;
    restart(&mut fleet, 0).await;
    let faults =
        ResponseFaults { count: 1_000, first_byte_delay_ms: 4_000, ..ResponseFaults::default() };
    fleet.backends[0]
        .control(&BackendControl { answer_faults: Some(faults), ..BackendControl::default() });
    wait_for("a request tries the cold target", async || {
        let res = fleet.request(reqwest::Method::GET, 0, "/x").send().await.unwrap();
        assert_eq!(res.status(), reqwest::StatusCode::OK);
        fleet.backends[0].counters().received > 0
    })
    .await;
    for number in 0..8 {
        let res = fleet.request(reqwest::Method::GET, 0, "/x").send().await.unwrap();
        assert_eq!(res.status(), reqwest::StatusCode::OK, "request {number}");
    }
    assert_borne(&fleet, "slow cold target");
}

/// No sign goes before the first answer, so requests already sent are beyond reach.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_target_that_falls_cold_in_its_run_is_spared_after_the_first_sign() {
    let fleet = start_cold(6, 3).await;
    let load = Load::begin(&fleet, 0..6, 24);
    wait_all_proved(&fleet, "proof at each gateway").await;
    let backend = &fleet.backends[0];
    backend.control(&BackendControl { cold: Some(true), ..BackendControl::default() });
    for gateway in 0..fleet.gateways.len() {
        wait_for("sign of cold start", async || {
            fleet.dump(gateway).await["targets"][0]["state"] == "cold"
                || backend.counters().state == "warm"
        })
        .await;
    }
    let counters = backend.counters();
    println!(
        "fell cold: {} over what it bears, at most {} at once",
        counters.cold_violations, counters.cold_peak
    );
    // Each of the 24 callers has one request under way, so no more can be beyond reach at once.
    assert!(counters.cold_peak <= 24);
    wait_all_warm(&fleet, "warm again").await;
    load.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_of_the_store_grants_nothing_and_takes_no_warm_target() {
    let mut fleet = start_cold(3, 2).await;
    let load = Load::begin(&fleet, 0..3, 12);
    wait_all_proved(&fleet, "proof at each gateway").await;
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for gateway in 0..fleet.gateways.len() {
        wait_for("nobody may grant", async || {
            fleet.dump(gateway).await["permits"]["active"] == false
        })
        .await;
    }
    restart(&mut fleet, 0).await;
    let before = fleet.backends[1].counters().received;
    wait_for("the warm target serves on", async || {
        fleet.backends[1].counters().received > before + 500
    })
    .await;
    assert_eq!(fleet.backends[0].counters().received, 0);
    let slow = StoreFaults { delay_ms: 300, lose_answers: 5, ..StoreFaults::default() };
    fleet.store.set_faults(slow);
    wait_all_warm(&fleet, "store back").await;
    assert_borne(&fleet, "store back, slow, with lost answers");
    load.end().await;
}
