//! System for tests: a store in the test process, gateways and backend servers as processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ibiscroft_lab::audit::{BackendAdmin, ExecutionLog};
use ibiscroft_lab::backend::BackendCounters;
use ibiscroft_lab::process::{GatewayAddresses, Process, StandInAddresses, program};
use ibiscroft_lab::store::{RunningStore, Store, StoreOptions};
use ibiscroft_lab::warm_up::warm_up;
use reqwest::{Client, Method, RequestBuilder};
use serde_json::json;
use tokio::process::Command;

const ANY_PORT: &str = "127.0.0.1:0";
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Longest time until an awaited condition holds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A backend server process.
pub(crate) struct BackendProcess {
    pub(crate) process: Process,
    pub(crate) admin: BackendAdmin,
    pub(crate) address: SocketAddr,
    journal: PathBuf,
}

impl BackendProcess {
    pub(crate) async fn counters(&self) -> BackendCounters {
        self.admin.counters().await.unwrap()
    }
}

/// A gateway process.
pub(crate) struct GatewayProcess {
    pub(crate) process: Process,
    pub(crate) addresses: GatewayAddresses,
}

/// The whole system; its processes are killed when it is dropped.
pub(crate) struct System {
    pub(crate) gateways: Vec<GatewayProcess>,
    pub(crate) backends: Vec<BackendProcess>,
    pub(crate) http: Client,
    pub(crate) store: RunningStore,
    directory: PathBuf,
}

impl System {
    /// Starts the system with one service at `/`, whose POST requests run at most once, and waits
    /// until the gateways regard all targets as warm.
    pub(crate) async fn start(name: &str, gateways: usize, backends: usize) -> Self {
        let directory =
            std::env::temp_dir().join(format!("ibiscroft-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let store = Store::start(StoreOptions::default()).await.unwrap();
        let mut system = Self {
            gateways: Vec::new(),
            backends: Vec::new(),
            http: Client::builder().no_proxy().build().unwrap(),
            store,
            directory,
        };
        for number in 0..backends {
            system.backends.push(start_backend(&system.directory, number).await);
        }
        system.put_configuration().await;
        for number in 0..gateways {
            let gateway = start_gateway(&system.directory, system.store.address(), number).await;
            system.wait_until_ready(&gateway).await;
            system.gateways.push(gateway);
        }
        let addresses: Vec<_> = system.gateways.iter().map(|gateway| gateway.addresses).collect();
        warm_up(&addresses, "/warm-up").await.unwrap();
        for backend in &system.backends {
            backend.admin.reset().await.unwrap();
        }
        system
    }

    /// Builds a request through a gateway.
    pub(crate) fn request(&self, gateway: usize, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.gateways[gateway].addresses.callers);
        self.http.request(method, url)
    }

    /// Returns the executions on all backend servers, including killed ones.
    pub(crate) fn execution_log(&self) -> ExecutionLog {
        let journals: Vec<_> = self.backends.iter().map(|backend| &backend.journal).collect();
        ExecutionLog::read(&journals).unwrap()
    }

    async fn put_configuration(&self) {
        let mut targets = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            targets.push(json!({
                "name": backend.process.name(),
                "address": backend.address,
                "availability_zone": ZONES[index % ZONES.len()],
                "slots": 6,
                "connections": 200,
            }));
        }
        let questionnaire = json!({
            "organisation": "test",
            "availability_zones": ZONES,
            "services": [{
                "name": "service",
                "routes": [{ "path_prefix": "/" }],
                "never_run_twice": ["POST"],
                "callers_wait_ms": 20000,
                "cold_target_bears": 2,
                "cold_lasts_ms": 300,
                "measuring_per_second": 2,
                "targets": targets,
            }],
        });
        let path = self.directory.join("questionnaire.json");
        std::fs::write(&path, questionnaire.to_string()).unwrap();
        let output = Command::new(program("ibiscroft-ops").unwrap())
            .args(["--store", &self.store.address().to_string(), "answer"])
            .arg(&path)
            .output()
            .await
            .unwrap();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }

    async fn wait_until_ready(&self, gateway: &GatewayProcess) {
        let url = format!("http://{}/readyz", gateway.addresses.operators);
        wait_until("gateway ready", async || {
            self.http.get(&url).send().await.is_ok_and(|response| response.status().is_success())
        })
        .await;
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok(),
        "timed out waiting for: {description}"
    );
}

async fn start_backend(directory: &Path, number: usize) -> BackendProcess {
    let name = format!("target-{number}");
    let journal = directory.join(format!("{name}.journal"));
    let arguments = ["backend", "--listen", ANY_PORT, "--admin", ANY_PORT, "--journal"];
    let mut arguments: Vec<String> = arguments.into_iter().map(String::from).collect();
    arguments.push(journal.to_string_lossy().into_owned());
    let lab = Path::new(env!("CARGO_BIN_EXE_ibiscroft-lab"));
    let (process, addresses): (_, StandInAddresses) =
        Process::start(name, lab, &arguments).await.unwrap();
    let admin = BackendAdmin::new(addresses.admin).unwrap();
    BackendProcess { process, admin, address: addresses.listen, journal }
}

async fn start_gateway(directory: &Path, store: SocketAddr, number: usize) -> GatewayProcess {
    let name = format!("gateway-{number}");
    let settings = json!({
        "instance": name,
        "availability_zone": ZONES[number % ZONES.len()],
        "caller_listen": ANY_PORT,
        "operator_listen": ANY_PORT,
        "peer_listen": ANY_PORT,
        "store": [store],
        "instance_list": store,
        "drain_notice_ms": 200,
    });
    let path = directory.join(format!("{name}.json"));
    std::fs::write(&path, settings.to_string()).unwrap();
    let arguments = ["--settings".to_string(), path.to_string_lossy().into_owned()];
    let program = program("ibiscroft-gateway").unwrap();
    let (process, addresses) = Process::start(name, &program, &arguments).await.unwrap();
    GatewayProcess { process, addresses }
}
