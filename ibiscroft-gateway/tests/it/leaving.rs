//! Targets that drain and return, judged by the backend servers.

use ibiscroft_lab::backend::BackendControl;
use reqwest::Method;

use crate::support::{Fleet, FleetOptions, wait_for};

/// Gateways of a fleet.
const GATEWAYS: usize = 3;
/// Requests through each gateway to see where work goes.
const PROBES: usize = 30;

fn set_draining(fleet: &Fleet, draining: bool) {
    fleet.backends[0]
        .control(&BackendControl { draining: Some(draining), ..BackendControl::default() });
}

async fn send_reads(fleet: &Fleet, gateway: usize) {
    for _ in 0..PROBES {
        let res = fleet.request(Method::GET, gateway, "/x?bytes=10").send().await.unwrap();
        assert_eq!(res.status(), 200, "gateway {gateway}");
    }
}

async fn state(fleet: &Fleet, gateway: usize) -> String {
    let dump = fleet.dump(gateway).await;
    let targets = dump["targets"].as_array().unwrap();
    let target = targets.iter().find(|target| target["name"] == "t0").unwrap();
    target["state"].as_str().unwrap().to_string()
}

#[tokio::test]
async fn a_draining_target_is_spared_everywhere_until_it_proves_that_it_serves() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    set_draining(&fleet, true);
    send_reads(&fleet, 0).await;
    for gateway in 0..GATEWAYS {
        wait_for("word of leaving", async || state(&fleet, gateway).await == "leaving").await;
    }
    let before = fleet.backends[0].counters().received;
    for gateway in 0..GATEWAYS {
        send_reads(&fleet, gateway).await;
    }
    assert_eq!(fleet.backends[0].counters().received, before);
    set_draining(&fleet, false);
    for gateway in 0..GATEWAYS {
        wait_for("target back", async || state(&fleet, gateway).await != "leaving").await;
    }
    let seconds = 30;
    assert!(fleet.backends[0].counters().health_polls <= 2 * seconds, "over the budget");
}
