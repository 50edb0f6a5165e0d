//! Zone state and configuration through gateway processes, judged by the backend servers.

use std::time::Duration;

use ibiscroft_core::ids::StoreVersion;
use ibiscroft_lab::store::StoreFaults;
use ibiscroft_platform::StoreClient;
use ibiscroft_wire::generated::configuration::ZoneStateRecord;
use ibiscroft_wire::{codec, keys};
use reqwest::{Method, StatusCode};
use tokio::task::JoinHandle;

use crate::support::{
    Fleet, FleetOptions, Gateway, PATIENCE, answers, put_configuration, wait_for,
};

/// Longest time until an accepted change is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Gateways of a fleet.
const GATEWAYS: usize = 3;
/// Gateways of today's largest fleet.
const LARGE_FLEET: usize = 18;
/// Requests through each gateway to see where work goes.
const PROBES: usize = 30;
/// Requests at once, few enough for the slots of two backend servers.
const AT_ONCE: usize = 10;
/// The gateway and the backend server in zone `a`.
const IN_ZONE_A: usize = 0;

/// Takes zones out by compare-and-swap.
async fn put_zones(fleet: &Fleet, generation: u64, out: &[&str]) {
    let store = StoreClient::new(vec![fleet.store.address()], PATIENCE).unwrap();
    let found = store.read(keys::ZONES).await.unwrap();
    let record = ZoneStateRecord {
        generation,
        change_id: format!("zones-{generation}"),
        out: out.iter().map(ToString::to_string).collect(),
    };
    let expected = StoreVersion(found.map_or(0, |entry| entry.version));
    let record = codec::to_json(&record).unwrap();
    store.write(keys::ZONES, record, expected, None).await.unwrap();
}

/// Sends reads through some gateways; each must be answered.
async fn send_reads(fleet: &Fleet, gateways: &[usize]) {
    for gateway in gateways {
        for _ in 0..PROBES {
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

/// Sends reads at once over connections of their own.
async fn send_at_once(fleet: &Fleet, gateway: usize) -> Vec<JoinHandle<StatusCode>> {
    let mut reads = Vec::new();
    for _ in 0..AT_ONCE {
        let read = fleet.request(Method::GET, gateway, "/x?bytes=10").send();
        reads.push(tokio::spawn(async move { read.await.unwrap().status() }));
    }
    reads
}

#[tokio::test]
async fn a_paused_gateway_learns_a_departure_from_its_peers_before_it_sends() {
    let fleet = Fleet::start(FleetOptions::new(LARGE_FLEET, 3)).await;
    for read in send_at_once(&fleet, IN_ZONE_A).await {
        assert_eq!(read.await.unwrap(), 200);
    }
    assert!(received(&fleet, IN_ZONE_A) > 0, "the gateway prefers its own zone");
    fleet.gateways[IN_ZONE_A].signal(libc::SIGSTOP);
    put_zones(&fleet, 1, &["a"]).await;
    wait_zones(&fleet, 1, 1).await;
    set_store_down(&fleet, true);
    tokio::time::sleep(IN_FORCE_WITHIN).await;
    let before = received(&fleet, IN_ZONE_A);
    let waiting = send_at_once(&fleet, IN_ZONE_A).await;
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
async fn a_store_that_returns_with_older_data_is_repaired() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    fleet.store.take_snapshot();
    put_zones(&fleet, 1, &["a"]).await;
    put_configuration(fleet.store.address(), &answers(&fleet.backends), 2).await;
    for gateway in 0..GATEWAYS {
        wait_zones(&fleet, gateway, 1).await;
    }
    set_store_down(&fleet, true);
    assert!(fleet.store.roll_back());
    set_store_down(&fleet, false);
    let before = received(&fleet, IN_ZONE_A);
    let store = StoreClient::new(vec![fleet.store.address()], PATIENCE).unwrap();
    for (key, wanted) in [(keys::ZONES, "zones-1"), (keys::CONFIGURATION, "test-2")] {
        wait_for("store repaired", async || {
            let entry = store.read(key).await.unwrap();
            entry.and_then(|entry| entry.value).is_some_and(|value| value.contains(wanted))
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
async fn an_outage_of_the_store_stops_no_read() {
    let fleet = Fleet::start(FleetOptions::new(2, 3)).await;
    set_store_down(&fleet, true);
    for _ in 0..8 {
        send_reads(&fleet, &[0, 1]).await;
        tokio::time::sleep(IN_FORCE_WITHIN / 4).await;
    }
    assert_eq!(fleet.dump(0).await["freshness"]["standing"], "proven");
    fleet.gateways[1].signal(libc::SIGKILL);
    for _ in 0..8 {
        send_reads(&fleet, &[0]).await;
        tokio::time::sleep(IN_FORCE_WITHIN / 4).await;
    }
    assert_eq!(fleet.dump(0).await["freshness"]["standing"], "isolated");
}

#[tokio::test]
async fn a_gateway_that_starts_during_an_outage_asks_its_peers() {
    let mut fleet = Fleet::start(FleetOptions::new(2, 3)).await;
    put_zones(&fleet, 1, &["a"]).await;
    wait_zones(&fleet, 0, 1).await;
    set_store_down(&fleet, true);
    let peers: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.peers).collect();
    let lonely = Gateway::start(2, fleet.store.address());
    fleet.gateways.push(Gateway::start_with_peers(3, fleet.store.address(), &peers));
    fleet.wait_ready(&fleet.gateways[2]).await;
    let dump = fleet.dump(2).await;
    assert_eq!(dump["zones"]["out"], serde_json::json!(["a"]));
    assert_eq!(dump["configuration"]["generation"], 1);
    let ready = fleet.http.get(format!("http://{}/readyz", lonely.operators)).send().await;
    assert_eq!(ready.unwrap().status(), 503, "no peers and no store");
}

#[tokio::test]
async fn records_handed_over_by_an_operator_spread() {
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
