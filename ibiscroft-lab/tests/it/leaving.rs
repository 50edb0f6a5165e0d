//! A leaving backend server receives no new requests after the propagation limit, however low the
//! traffic.

use std::time::Duration;

use ibiscroft_lab::backend::BackendControl;
use ibiscroft_wire::generated::store::{InstanceEntry, InstanceEntryState, InstanceList};
use reqwest::{Method, StatusCode};

use crate::support::System;

/// Time after a change by which every gateway must have applied it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

#[tokio::test]
async fn idle_gateway_excludes_target_that_instance_list_marks_as_leaving() {
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
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for number in 0..60 {
        let response = system.request(0, Method::GET, "/quiet").send().await.unwrap();
        assert_eq!(response.status(), StatusCode::OK, "request {number}");
    }
    assert_eq!(leaving.counters().await.received_while_draining, 0);
}
