//! A fleet without traffic: a store, listeners in place of targets, and gateways.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use ibiscroft_core::ids::{ChangeId, Generation};
use ibiscroft_wire::generated::store::PutRequest;
use ibiscroft_wire::{codec, keys, questionnaire, records};
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::process::GatewayProcess;
use super::usage::Usage;
use crate::store::{RunningStore, Store, StoreOptions};

/// Availability zones, taken in turn.
const ZONES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
/// Targets of one service at the most.
const TARGETS_PER_SERVICE: usize = 26;
/// Looks at readiness before giving up.
const READY_LOOKS: usize = 400;
/// Pause between looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

pub(super) struct Fleet {
    pub(super) store: RunningStore,
    gateways: Vec<GatewayProcess>,
    targets: Vec<JoinHandle<()>>,
    http: reqwest::Client,
}

impl Fleet {
    /// Starts everything and waits until each gateway is ready.
    pub(super) async fn start(gateways: usize, targets: usize) -> Result<Self> {
        let store = Store::start(StoreOptions::default()).await?;
        let mut tasks = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..targets {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tasks.push(tokio::spawn(hold_connections(listener)));
        }
        let http = reqwest::Client::builder().no_proxy().build()?;
        put_configuration(&http, store.address(), &addresses).await?;
        let mut processes = Vec::new();
        for index in 0..gateways {
            let zone = ZONES[index % ZONES.len()];
            processes.push(GatewayProcess::start(index, zone, store.address()).await?);
        }
        let fleet = Self { store, gateways: processes, targets: tasks, http };
        for gateway in &fleet.gateways {
            fleet.wait_ready(gateway.operators).await?;
        }
        Ok(fleet)
    }

    /// Reads what each gateway has used.
    pub(super) async fn usage(&self) -> Result<Vec<Usage>> {
        let mut usages = Vec::new();
        for gateway in &self.gateways {
            let url = format!("http://{}/metrics", gateway.operators);
            let metrics = self.http.get(url).send().await?.text().await?;
            usages.push(Usage::read(gateway.pid()?, &metrics)?);
        }
        Ok(usages)
    }

    async fn wait_ready(&self, operators: SocketAddr) -> Result<()> {
        let url = format!("http://{operators}/readyz");
        for _ in 0..READY_LOOKS {
            let res = self.http.get(&url).send().await;
            if res.is_ok_and(|res| res.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        bail!("the gateway at {operators} did not become ready")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for task in &self.targets {
            task.abort();
        }
    }
}

/// Accepts connections and holds each until the other side closes it.
async fn hold_connections(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut buf = [0; 256];
            while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {}
        });
    }
}

async fn put_configuration(
    http: &reqwest::Client,
    store: SocketAddr,
    targets: &[SocketAddr],
) -> Result<()> {
    let answers = questionnaire::read(answers(targets).to_string().as_bytes())?;
    let cfg = questionnaire::generate(&answers, Generation(1), ChangeId::new("cost"))?;
    let value = codec::to_json(&records::configuration_record(&cfg))?;
    let body = PutRequest { value, expected_version: 0, lease: None };
    let url = format!("http://{store}/v1/kv");
    let res = http.put(url).query(&[("key", keys::CONFIGURATION)]).json(&body).send().await?;
    if res.status().is_success() {
        return Ok(());
    }
    Err(eyre!("the store answered {}", res.status()))
}

fn answers(targets: &[SocketAddr]) -> Value {
    let mut services = Vec::new();
    for (number, chunk) in targets.chunks(TARGETS_PER_SERVICE).enumerate() {
        let mut members = Vec::new();
        for (index, address) in chunk.iter().enumerate() {
            members.push(json!({
                "name": format!("t-{number}-{index}"),
                "address": address,
                "availability_zone": ZONES[index % ZONES.len()],
                "slots": 6,
                "connections": 200,
            }));
        }
        services.push(json!({
            "name": format!("service-{number}"),
            "routes": [{ "path_prefix": format!("/{number}") }],
            "callers_wait_ms": 2_000,
            "cold_target_bears": 2,
            "cold_lasts_ms": 5_000,
            "measuring_per_second": 1,
            "targets": members,
        }));
    }
    json!({ "organisation": "cost of control", "availability_zones": ZONES, "services": services })
}
