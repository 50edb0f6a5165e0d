//! A store in this process and gateways as processes, for measurements.

mod gateway;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use gateway::Gateway;
use ibiscroft_core::ids::{ChangeId, Generation};
use ibiscroft_wire::generated::store::PutRequest;
use ibiscroft_wire::{codec, keys, questionnaire, records};
use serde_json::{Value, json};

pub(crate) use usage::Usage;

use crate::store::{RunningStore, Store, StoreOptions};
use crate::warm_up::warm_up;

/// Availability zones, taken in turn.
const ZONES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
/// Highest number of targets of a service.
const TARGETS_PER_SERVICE: usize = 26;
/// Number of readiness polls before a gateway counts as failed.
const MAX_READY_POLLS: usize = 400;
/// Interval between readiness polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    /// Number of gateways.
    pub(crate) gateways: usize,
    /// Number of traffic threads of each gateway.
    pub(crate) traffic_threads: usize,
}

/// A store and gateways; the targets are given by address.
#[derive(Debug)]
pub(crate) struct MeasuredFleet {
    /// The store.
    pub(crate) store: RunningStore,
    gateways: Vec<Gateway>,
    http: reqwest::Client,
}

impl MeasuredFleet {
    /// Starts the store and the gateways, and waits until each gateway is ready.
    pub(crate) async fn start(size: FleetSize, targets: &[SocketAddr]) -> Result<Self> {
        let store = Store::start(StoreOptions::default()).await?;
        let http = reqwest::Client::builder().no_proxy().build()?;
        put_configuration(&http, store.address(), targets).await?;
        let mut processes = Vec::new();
        for index in 0..size.gateways {
            let zone = ZONES[index % ZONES.len()];
            let started = Gateway::start(index, zone, store.address(), size.traffic_threads);
            processes.push(started.await?);
        }
        let fleet = Self { store, gateways: processes, http };
        for gateway in &fleet.gateways {
            fleet.wait_until_ready(gateway.addresses.operators).await?;
        }
        Ok(fleet)
    }

    /// Reads the resource usage of each gateway since its start.
    pub(crate) async fn usage(&self) -> Result<Vec<Usage>> {
        let mut usages = Vec::new();
        for gateway in &self.gateways {
            let metrics = self.metrics(gateway).await?;
            usages.push(Usage::read(gateway.process.id()?, &metrics)?);
        }
        Ok(usages)
    }

    /// Returns the gateways' addresses for callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.addresses.callers).collect()
    }

    /// Sends requests for `path` until each gateway reports all targets as warm.
    pub(crate) async fn warm_up(&self, path: &str) -> Result<()> {
        let addresses: Vec<_> = self.gateways.iter().map(|gateway| gateway.addresses).collect();
        warm_up(&addresses, path).await
    }

    async fn metrics(&self, gateway: &Gateway) -> Result<String> {
        let url = format!("http://{}/metrics", gateway.addresses.operators);
        Ok(self.http.get(url).send().await?.text().await?)
    }

    async fn wait_until_ready(&self, operators: SocketAddr) -> Result<()> {
        let url = format!("http://{operators}/readyz");
        for _ in 0..MAX_READY_POLLS {
            let res = self.http.get(&url).send().await;
            if res.is_ok_and(|res| res.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        bail!("gateway with operator address {operators} did not become ready")
    }
}

async fn put_configuration(
    http: &reqwest::Client,
    store: SocketAddr,
    targets: &[SocketAddr],
) -> Result<()> {
    let answers = questionnaire::read(questionnaire_answers(targets).to_string().as_bytes())?;
    let cfg = questionnaire::generate(&answers, Generation(1), ChangeId::new("cost"))?;
    let value = codec::to_json(&records::configuration_record(&cfg))?;
    let body = PutRequest { value, expected_version: 0, lease: None };
    let url = format!("http://{store}/v1/kv");
    let res = http.put(url).query(&[("key", keys::CONFIGURATION)]).json(&body).send().await?;
    if res.status().is_success() {
        return Ok(());
    }
    Err(eyre!("writing the configuration to the store failed with status {}", res.status()))
}

/// Returns questionnaire answers with one service for every [`TARGETS_PER_SERVICE`] targets.
/// Service number N has the path prefix `/N`.
fn questionnaire_answers(targets: &[SocketAddr]) -> Value {
    let mut services = Vec::new();
    for (number, chunk) in targets.chunks(TARGETS_PER_SERVICE).enumerate() {
        let mut members = Vec::new();
        for (index, address) in chunk.iter().enumerate() {
            members.push(json!({
                "name": format!("t-{number}-{index}"),
                "address": address,
                "availability_zone": ZONES[index % ZONES.len()],
                "slots": 200,
                "connections": 200,
            }));
        }
        services.push(json!({
            "name": format!("service-{number}"),
            "routes": [{ "path_prefix": format!("/{number}") }],
            "callers_wait_ms": 2_000,
            "cold_target_bears": 200,
            "cold_lasts_ms": 1,
            "measuring_per_second": 1,
            "targets": members,
        }));
    }
    json!({ "organisation": "measurement", "availability_zones": ZONES, "services": services })
}
