//! Targets that drain and later serve again, checked by the backend servers' counters.

use ibiscroft_lab::backend::BackendControl;
use reqwest::Method;

use crate::support::{Fleet, FleetOptions, wait_for};

/// Gateways in the fleet.
const GATEWAYS: usize = 3;
/// Read requests sent through each gateway to see which targets receive them.
const READS_PER_GATEWAY: usize = 30;

fn set_draining(fleet: &Fleet, draining: bool) {
    fleet.backends[0]
        .control(&BackendControl { draining: Some(draining), ..BackendControl::default() });
}

async fn send_reads(fleet: &Fleet, gateway: usize) {
    for _ in 0..READS_PER_GATEWAY {
        let res = fleet.request(Method::GET, gateway, "/x?bytes=10").send().await.unwrap();
        assert_eq!(res.status(), 200, "gateway {gateway}");
    }
}

/// Returns the state of target `t0` in the dump of a gateway.
async fn target_state(fleet: &Fleet, gateway: usize) -> String {
    let dump = fleet.dump(gateway).await;
    let targets = dump["targets"].as_array().unwrap();
    let target = targets.iter().find(|target| target["name"] == "t0").unwrap();
    target["state"].as_str().unwrap().to_string()
}

#[tokio::test]
async fn draining_target_gets_no_requests_from_any_gateway_until_it_proves_that_it_serves() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    set_draining(&fleet, true);
    send_reads(&fleet, 0).await;
    for gateway in 0..GATEWAYS {
        wait_for("target leaving", async || target_state(&fleet, gateway).await == "leaving").await;
    }
    let before = fleet.backends[0].counters().received;
    for gateway in 0..GATEWAYS {
        send_reads(&fleet, gateway).await;
    }
    assert_eq!(fleet.backends[0].counters().received, before);
    set_draining(&fleet, false);
    for gateway in 0..GATEWAYS {
        wait_for("target back", async || target_state(&fleet, gateway).await != "leaving").await;
    }
    let seconds = 30;
    assert!(fleet.backends[0].counters().health_polls <= 2 * seconds, "too many health polls");
}
