//! The processes of the demo.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use ibiscroft_wire::codec;
use ibiscroft_wire::generated::questionnaire::{
    Questionnaire, RouteAnswers, ServiceAnswers, ServiceAnswersNeverRunTwiceItem, TargetAnswers,
};
use ibiscroft_wire::generated::settings::GatewaySettings;
use tokio::process::Command;

use crate::audit::BackendAdmin;
use crate::process::{GatewayAddresses, Process, StandInAddresses, program};
use crate::warm_up::warm_up;

/// Availability zones.
pub(super) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const BACKENDS_PER_ZONE: usize = 2;
const GATEWAYS: usize = 2;
/// Number of slots of each backend server in the configuration.
const SLOTS: u32 = 6;
/// Number of connections that each backend server accepts.
const CONNECTIONS: u32 = 200;
const DRAIN_NOTICE_MS: u32 = 500;
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of concurrent requests that a backend server can take while it is cold.
const COLD_CAPACITY: u32 = 2;
/// Time from the first request until a backend server is warm, in milliseconds.
const WARM_UP_MS: u32 = 1_000;
const ANY_PORT: &str = "127.0.0.1:0";

/// A backend server of the demo.
#[derive(Debug)]
pub(super) struct BackendProcess {
    pub(super) process: Process,
    pub(super) zone: &'static str,
    pub(super) admin: BackendAdmin,
    pub(super) journal: PathBuf,
    address: SocketAddr,
}

/// A gateway of the demo.
#[derive(Debug)]
struct GatewayProcess {
    process: Process,
    addresses: GatewayAddresses,
}

/// All processes of the demo; killed when dropped.
#[derive(Debug)]
pub(super) struct Fleet {
    gateways: Vec<GatewayProcess>,
    pub(super) backends: Vec<BackendProcess>,
    store: (Process, StandInAddresses),
    operator_program: PathBuf,
    _directory: TempDirectory,
}

impl Fleet {
    /// Starts all processes and waits until the gateways are ready and regard all targets as warm.
    pub(super) async fn start() -> Result<Self> {
        let directory = TempDirectory::create()?;
        let operator_program = program("ibiscroft-ops")?;
        let store = start_store().await?;
        let mut backends = Vec::new();
        for zone in ZONES {
            for number in 1..=BACKENDS_PER_ZONE {
                backends.push(start_backend(&directory.path, zone, number).await?);
            }
        }
        let mut gateways = Vec::new();
        for number in 1..=GATEWAYS {
            gateways.push(start_gateway(&directory.path, store.1.listen, number).await?);
        }
        let fleet = Self { gateways, backends, store, operator_program, _directory: directory };
        fleet.answer_questionnaire().await?;
        for gateway in &fleet.gateways {
            wait_until_ready(gateway).await?;
        }
        let addresses: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.addresses).collect();
        warm_up(&addresses, "/warm-up").await?;
        Ok(fleet)
    }

    /// Returns the gateways' addresses for callers.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.addresses.callers).collect()
    }

    /// Returns the gateways' names and addresses for operators.
    pub(super) fn operator_addresses(&self) -> Vec<(&str, SocketAddr)> {
        let address = |gateway: &GatewayProcess| gateway.addresses.operators;
        self.gateways.iter().map(|gateway| (gateway.process.name(), address(gateway))).collect()
    }

    /// Returns the path of `ibiscroft-ops`.
    pub(super) fn operator_program(&self) -> &Path {
        &self.operator_program
    }

    /// Returns the store's address.
    pub(super) fn store_address(&self) -> SocketAddr {
        self.store.1.listen
    }

    /// Runs `ibiscroft-ops` and returns its standard output.
    pub(super) async fn run_ops(&self, arguments: &[&str]) -> Result<String> {
        let output = Command::new(&self.operator_program)
            .arg("--store")
            .arg(self.store_address().to_string())
            .args(arguments)
            .kill_on_drop(true)
            .output()
            .await
            .wrap_err("cannot run ibiscroft-ops")?;
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        ensure!(output.status.success(), "ibiscroft-ops {arguments:?} failed: {error}");
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Stops the gateways gracefully; the other processes are killed on drop.
    pub(super) async fn stop(mut self) -> Result<()> {
        for gateway in &self.gateways {
            gateway.process.terminate().await?;
        }
        for gateway in &mut self.gateways {
            let status = gateway.process.wait().await?;
            ensure!(status.success(), "{} ended with {status}", gateway.process.name());
        }
        Ok(())
    }

    /// Writes the configuration to the store, as an operator does.
    async fn answer_questionnaire(&self) -> Result<()> {
        let path = self._directory.path.join("questionnaire.json");
        std::fs::write(&path, codec::to_json(&self.questionnaire())?)?;
        self.run_ops(&["answer", &path.to_string_lossy()]).await?;
        Ok(())
    }

    fn questionnaire(&self) -> Questionnaire {
        let mut targets = Vec::new();
        for backend in &self.backends {
            targets.push(TargetAnswers {
                name: backend.process.name().to_string(),
                address: backend.address.to_string(),
                availability_zone: backend.zone.to_string(),
                slots: SLOTS,
                connections: CONNECTIONS,
            });
        }
        Questionnaire {
            schema: None,
            organisation: "Demo".to_string(),
            availability_zones: ZONES.iter().map(ToString::to_string).collect(),
            services: vec![ServiceAnswers {
                name: "demo".to_string(),
                routes: vec![RouteAnswers { host: None, path_prefix: Some("/".to_string()) }],
                never_run_twice: vec![ServiceAnswersNeverRunTwiceItem::Post],
                callers_wait_ms: 5_000,
                queue_wait_ms: None,
                cold_target_bears: COLD_CAPACITY,
                cold_lasts_ms: WARM_UP_MS,
                measuring_per_second: 2,
                targets,
            }],
        }
    }
}

async fn start_store() -> Result<(Process, StandInAddresses)> {
    let arguments = ["store", "--listen", ANY_PORT, "--admin", ANY_PORT].map(String::from);
    Process::start("store", &std::env::current_exe()?, &arguments).await
}

async fn start_backend(
    directory: &Path,
    zone: &'static str,
    number: usize,
) -> Result<BackendProcess> {
    let name = format!("{zone}-{number}");
    let journal = directory.join(format!("{name}.journal"));
    let journal_text = journal.to_string_lossy();
    let arguments = [
        ["backend", "--listen", ANY_PORT, "--admin", ANY_PORT].as_slice(),
        &["--name", &name, "--journal", &journal_text],
        &["--cold-bears", &COLD_CAPACITY.to_string(), "--cold-ms", &WARM_UP_MS.to_string()],
    ];
    let arguments: Vec<String> = arguments.concat().into_iter().map(String::from).collect();
    let executable = std::env::current_exe()?;
    let (process, addresses): (_, StandInAddresses) =
        Process::start(name, &executable, &arguments).await?;
    let admin = BackendAdmin::new(addresses.admin)?;
    Ok(BackendProcess { process, zone, admin, journal, address: addresses.listen })
}

async fn start_gateway(
    directory: &Path,
    store: SocketAddr,
    number: usize,
) -> Result<GatewayProcess> {
    let name = format!("gateway-{number}");
    let settings = GatewaySettings {
        peers: Vec::new(),
        instance: name.clone(),
        availability_zone: ZONES[(number - 1) % ZONES.len()].to_string(),
        caller_listen: ANY_PORT.to_string(),
        operator_listen: ANY_PORT.to_string(),
        peer_listen: ANY_PORT.to_string(),
        store: vec![store.to_string()],
        instance_list: Some(store.to_string()),
        traffic_threads: Some(2),
        drain_notice_ms: Some(DRAIN_NOTICE_MS),
        drain_limit_ms: None,
        memory_mb: None,
        max_fds: None,
    };
    let path = directory.join(format!("{name}.json"));
    std::fs::write(&path, codec::to_json(&settings)?)?;
    let arguments = ["--settings".to_string(), path.to_string_lossy().into_owned()];
    let (process, addresses) =
        Process::start(name, &program("ibiscroft-gateway")?, &arguments).await?;
    Ok(GatewayProcess { process, addresses })
}

async fn wait_until_ready(gateway: &GatewayProcess) -> Result<()> {
    let url = format!("http://{}/readyz", gateway.addresses.operators);
    let client = reqwest::Client::builder().no_proxy().build()?;
    let is_ready = async || {
        let response = client.get(&url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    };
    let ready = async {
        while !is_ready().await {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .wrap_err_with(|| format!("{} not ready before the timeout", gateway.process.name()))
}

/// Temporary directory for settings and journals; removed when dropped.
#[derive(Debug)]
struct TempDirectory {
    path: PathBuf,
}

impl TempDirectory {
    fn create() -> Result<Self> {
        let path = std::env::temp_dir().join(format!("ibiscroft-demo-{}", std::process::id()));
        std::fs::create_dir_all(&path)
            .wrap_err_with(|| format!("cannot create directory {}", path.display()))?;
        Ok(Self { path })
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
