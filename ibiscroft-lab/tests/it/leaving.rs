//! Leaving backend servers receive no new work after the bound, however little traffic there is.

use std::time::Duration;

use ibiscroft_lab::backend::BackendControl;
use ibiscroft_wire::generated::store::{InstanceEntry, InstanceEntryState, InstanceList};
use reqwest::{Method, StatusCode};

use crate::support::System;

/// A change must be in force everywhere after this time.
const IN_FORCE: Duration = Duration::from_secs(3);

#[tokio::test]
async fn a_quiet_gateway_learns_of_a_leaving_server_from_the_platform() {
    let system = System::start("leaving", 1, 3).await;
    let leaving = &system.backends[0];
    leaving
        .admin
        .control(&BackendControl { draining: Some(true), ..BackendControl::default() })
        .await
        .unwrap();
    let mut instances = Vec::new();
    for (index, backend) in system.backends.iter().enumerate() {
        let state = if index == 0 { InstanceEntryState::Leaving } else { InstanceEntryState::Live };
        instances.push(InstanceEntry { address: backend.address.to_string(), state });
    }
    system.store.set_instances(InstanceList { instances });
    tokio::time::sleep(IN_FORCE).await;
    for number in 0..60 {
        let response = system.request(0, Method::GET, "/quiet").send().await.unwrap();
        assert_eq!(response.status(), StatusCode::OK, "request {number}");
    }
    assert_eq!(leaving.counters().await.received_while_draining, 0);
}
