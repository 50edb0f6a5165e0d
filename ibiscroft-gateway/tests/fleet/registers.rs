//! How zone state and configuration reach gateway processes, checked by the gateways' dumps and the
//! backend servers' counters.

use std::time::Duration;

use ibiscroft_core::ids::StoreVersion;
use ibiscroft_lab::store::StoreFaults;
use ibiscroft_platform::StoreClient;
use ibiscroft_wire::generated::configuration::ZoneStateRecord;
use ibiscroft_wire::{codec, keys};
use reqwest::{Method, StatusCode};
use tokio::task::JoinHandle;

use crate::support::{
    Fleet, FleetOptions, Gateway, WAIT_TIMEOUT, put_configuration, questionnaire, wait_for,
};

/// Longest time until an accepted change is in force at every gateway.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Gateways in most of the fleets.
const GATEWAYS: usize = 3;
/// Gateways in the largest fleet in operation.
const LARGE_FLEET: usize = 18;
/// Read requests sent through each gateway to see which targets receive them.
const READS_PER_GATEWAY: usize = 30;
/// Concurrent read requests, few enough for the slots of two backend servers.
const CONCURRENT_READS: usize = 10;
/// Index of the first gateway and of the first backend server, both in zone `a`.
const IN_ZONE_A: usize = 0;

/// Writes a zone state that takes the zones `out` out of service, by compare-and-swap.
async fn put_zones(fleet: &Fleet, generation: u64, out: &[&str]) {
    let store = StoreClient::new(vec![fleet.store.address()], WAIT_TIMEOUT).unwrap();
    let current = store.read(keys::ZONES).await.unwrap();
    let record = ZoneStateRecord {
        generation,
        change_id: format!("zones-{generation}"),
        out: out.iter().map(ToString::to_string).collect(),
    };
    let expected = StoreVersion(current.map_or(0, |entry| entry.version));
    let record = codec::to_json(&record).unwrap();
    store.write(keys::ZONES, record, expected, None).await.unwrap();
}

/// Sends read requests through some gateways; each must succeed.
async fn send_reads(fleet: &Fleet, gateways: &[usize]) {
    for gateway in gateways {
        for _ in 0..READS_PER_GATEWAY {
            let res = fleet.request(Method::GET, *gateway, "/x?bytes=10").send().await.unwrap();
            assert_eq!(res.status(), 200, "gateway {gateway}");
        }
    }
}

fn received(fleet: &Fleet, backend: usize) -> u64 {
    fleet.backends[backend].counters().received
}

async fn wait_zones(fleet: &Fleet, gateway: usize, generation: u64) {
    wait_for("zone state in force", async || {
        fleet.dump(gateway).await["zones"]["generation"] == generation
    })
    .await;
}

fn set_store_down(fleet: &Fleet, down: bool) {
    fleet.store.set_faults(StoreFaults { down, ..StoreFaults::default() });
}

/// Sends concurrent read requests, each over a connection of its own; returns tasks that end with
/// their statuses.
async fn send_concurrently(fleet: &Fleet, gateway: usize) -> Vec<JoinHandle<StatusCode>> {
    let mut reads = Vec::new();
    for _ in 0..CONCURRENT_READS {
        let read = fleet.request(Method::GET, gateway, "/x?bytes=10").send();
        reads.push(tokio::spawn(async move { read.await.unwrap().status() }));
    }
    reads
}

#[tokio::test]
async fn resumed_gateway_learns_from_peers_that_a_zone_is_out_before_it_sends() {
    let fleet = Fleet::start(FleetOptions::new(LARGE_FLEET, 3)).await;
    for read in send_concurrently(&fleet, IN_ZONE_A).await {
        assert_eq!(read.await.unwrap(), 200);
    }
    assert!(received(&fleet, IN_ZONE_A) > 0, "the gateway must prefer its own zone");
    fleet.gateways[IN_ZONE_A].signal(libc::SIGSTOP);
    put_zones(&fleet, 1, &["a"]).await;
    wait_zones(&fleet, 1, 1).await;
    set_store_down(&fleet, true);
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let before = received(&fleet, IN_ZONE_A);
    let waiting = send_concurrently(&fleet, IN_ZONE_A).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.gateways[IN_ZONE_A].signal(libc::SIGCONT);
    for read in waiting {
        assert_eq!(read.await.unwrap(), 200);
    }
    send_reads(&fleet, &(0..LARGE_FLEET).collect::<Vec<_>>()).await;
    assert_eq!(received(&fleet, IN_ZONE_A), before);
    assert_eq!(fleet.dump(IN_ZONE_A).await["zones"]["generation"], 1);
}

#[tokio::test]
async fn store_that_comes_back_with_older_data_is_repaired() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    fleet.store.take_snapshot();
    put_zones(&fleet, 1, &["a"]).await;
    put_configuration(fleet.store.address(), &questionnaire(&fleet.backends), 2).await;
    for gateway in 0..GATEWAYS {
        wait_zones(&fleet, gateway, 1).await;
    }
    set_store_down(&fleet, true);
    assert!(fleet.store.roll_back());
    set_store_down(&fleet, false);
    let before = received(&fleet, IN_ZONE_A);
    let store = StoreClient::new(vec![fleet.store.address()], WAIT_TIMEOUT).unwrap();
    for (key, change_id) in [(keys::ZONES, "zones-1"), (keys::CONFIGURATION, "test-2")] {
        wait_for("store repaired", async || {
            let entry = store.read(key).await.unwrap();
            entry.and_then(|entry| entry.value).is_some_and(|value| value.contains(change_id))
        })
        .await;
    }
    send_reads(&fleet, &[0, 1, 2]).await;
    assert_eq!(received(&fleet, IN_ZONE_A), before);
    for gateway in 0..GATEWAYS {
        let dump = fleet.dump(gateway).await;
        assert_eq!(dump["zones"]["generation"], 1);
        assert_eq!(dump["configuration"]["generation"], 2);
    }
}

#[tokio::test]
async fn reads_succeed_during_store_outage_even_at_an_isolated_gateway() {
    let fleet = Fleet::start(FleetOptions::new(2, 3)).await;
    set_store_down(&fleet, true);
    for _ in 0..8 {
        send_reads(&fleet, &[0, 1]).await;
        tokio::time::sleep(PROPAGATION_LIMIT / 4).await;
    }
    assert_eq!(fleet.dump(0).await["freshness"]["standing"], "proven");
    fleet.gateways[1].signal(libc::SIGKILL);
    for _ in 0..8 {
        send_reads(&fleet, &[0]).await;
        tokio::time::sleep(PROPAGATION_LIMIT / 4).await;
    }
    assert_eq!(fleet.dump(0).await["freshness"]["standing"], "isolated");
}

#[tokio::test]
async fn gateway_started_during_store_outage_gets_the_registers_from_its_peers() {
    let mut fleet = Fleet::start(FleetOptions::new(2, 3)).await;
    put_zones(&fleet, 1, &["a"]).await;
    wait_zones(&fleet, 0, 1).await;
    set_store_down(&fleet, true);
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peers).collect();
    let isolated = Gateway::start(2, fleet.store.address());
    fleet.gateways.push(Gateway::start_with_peers(3, fleet.store.address(), &peers));
    fleet.wait_ready(&fleet.gateways[2]).await;
    let dump = fleet.dump(2).await;
    assert_eq!(dump["zones"]["out"], serde_json::json!(["a"]));
    assert_eq!(dump["configuration"]["generation"], 1);
    let ready = fleet.http.get(format!("http://{}/readyz", isolated.operators)).send().await;
    assert_eq!(ready.unwrap().status(), 503, "a gateway without peers and store must not be ready");
}

#[tokio::test]
async fn records_posted_by_an_operator_reach_all_gateways_during_store_outage() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    set_store_down(&fleet, true);
    let record = r#"{"generation":4,"change_id":"x","out":["a"]}"#;
    let body = serde_json::json!({"kind": "registers", "configuration": "", "zones": record});
    let url = format!("http://{}/registers", fleet.gateways[1].operators);
    let res = fleet.http.post(url).json(&body).send().await.unwrap();
    let state: serde_json::Value = res.json().await.unwrap();
    assert_eq!(state["zones"]["generation"], 4);
    for gateway in 0..GATEWAYS {
        wait_zones(&fleet, gateway, 4).await;
    }
    let before = received(&fleet, IN_ZONE_A);
    send_reads(&fleet, &[0, 1, 2]).await;
    assert_eq!(received(&fleet, IN_ZONE_A), before);
}
