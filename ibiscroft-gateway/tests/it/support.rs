//! Test fleets: gateways run as processes of their own, the store and the backend servers run in
//! the test's process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ibiscroft_core::config::Configuration;
use ibiscroft_core::ids::{ChangeId, Generation, StoreVersion};
use ibiscroft_lab::backend::{Backend, BackendOptions, RunningBackend};
use ibiscroft_lab::store::{RunningStore, Store, StoreOptions};
use ibiscroft_platform::StoreClient;
use ibiscroft_wire::{codec, keys, questionnaire, records};
use serde_json::{Value, json};

/// Default timeout for waiting on a condition; also the timeout of store calls.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Availability zones of a fleet; targets and gateways are assigned to them in turn.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// Size and configuration of a test fleet.
pub(crate) struct FleetOptions {
    /// Number of gateways.
    pub(crate) gateways: usize,
    /// Options of each backend server.
    pub(crate) backends: Vec<BackendOptions>,
    /// Changes the questionnaire before its configuration is put in force.
    pub(crate) questionnaire: fn(&mut Value),
    /// Whether the start returns without waiting until all targets are proved warm.
    pub(crate) starts_cold: bool,
    /// Settings of each gateway beside its addresses.
    pub(crate) settings: fn(&mut Value),
}

impl FleetOptions {
    /// Returns options for this number of gateways and of default backend servers, all proved
    /// warm.
    pub(crate) fn new(gateways: usize, backends: usize) -> Self {
        Self {
            gateways,
            backends: vec![BackendOptions::default(); backends],
            questionnaire: |_| {},
            starts_cold: false,
            settings: |_| {},
        }
    }
}

/// A store, backend servers and gateways that serve one service at `/`.
///
/// POST requests are at-most-once requests.
pub(crate) struct Fleet {
    pub(crate) store: RunningStore,
    pub(crate) backends: Vec<RunningBackend>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) http: reqwest::Client,
}

impl Fleet {
    /// Starts a fleet and waits until each gateway is ready and, unless the fleet starts cold, has
    /// proved each target warm.
    pub(crate) async fn start(options: FleetOptions) -> Self {
        let store = Store::start(StoreOptions::default()).await.unwrap();
        let mut backends = Vec::new();
        for (index, mut backend) in options.backends.into_iter().enumerate() {
            backend.name = format!("t{index}");
            backends.push(Backend::start(backend).await.unwrap());
        }
        let mut questionnaire = questionnaire(&backends);
        (options.questionnaire)(&mut questionnaire);
        put_configuration(store.address(), &questionnaire, 1).await;
        let mut gateways = Vec::new();
        for index in 0..options.gateways {
            gateways.push(Gateway::start_with(index, store.address(), &[], options.settings));
        }
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let fleet = Self { store, backends, gateways, http };
        for gateway in &fleet.gateways {
            fleet.wait_ready(gateway).await;
        }
        if !options.starts_cold {
            fleet.warm_up().await;
        }
        fleet
    }

    /// Sends requests until each gateway has proved each target warm; then resets the backend
    /// servers' counters.
    pub(crate) async fn warm_up(&self) {
        for gateway in 0..self.gateways.len() {
            self.warm_up_gateway(gateway).await;
        }
        for backend in &self.backends {
            backend.reset();
        }
    }

    /// Sends requests through one gateway until it has proved each target warm.
    pub(crate) async fn warm_up_gateway(&self, gateway: usize) {
        wait_for("all targets warm", async || {
            let _ = self.request(reqwest::Method::GET, gateway, "/warm-up").send().await;
            self.has_only_warm_targets(gateway).await
        })
        .await;
    }

    /// Returns whether a gateway has targets and all are proved warm.
    pub(crate) async fn has_only_warm_targets(&self, gateway: usize) -> bool {
        let dump = self.dump(gateway).await;
        let targets = dump["targets"].as_array().unwrap();
        !targets.is_empty() && targets.iter().all(|target| target["state"] == "warm")
    }

    /// Waits until a gateway reports that it is ready.
    pub(crate) async fn wait_ready(&self, gateway: &Gateway) {
        let url = format!("http://{}/readyz", gateway.operators);
        wait_for("gateway ready", async || {
            let res = self.http.get(&url).send().await;
            res.is_ok_and(|res| res.status().is_success())
        })
        .await;
    }

    /// Returns the state dump of a gateway.
    pub(crate) async fn dump(&self, gateway: usize) -> Value {
        let url = format!("http://{}/dump", self.gateways[gateway].operators);
        self.http.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// Returns the builder of a request through a gateway.
    pub(crate) fn request(
        &self,
        method: reqwest::Method,
        gateway: usize,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.gateways[gateway].callers);
        self.http.request(method, url)
    }

    /// Sends an at-most-once request with an idempotency key.
    pub(crate) async fn send_at_most_once(
        &self,
        gateway: usize,
        path: &str,
        key: &str,
    ) -> reqwest::Response {
        let req = self.request(reqwest::Method::POST, gateway, path);
        req.header("idempotency-key", key).body("order").send().await.unwrap()
    }
}

/// Returns an idempotency key that starts with the present time in milliseconds.
#[expect(clippy::disallowed_methods, reason = "idempotency keys carry the time of day")]
pub(crate) fn timed_key(name: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{}-{name}", now.as_millis())
}

/// Returns a questionnaire for one service on `backends`.
pub(crate) fn questionnaire(backends: &[RunningBackend]) -> Value {
    let mut targets = Vec::new();
    for (index, backend) in backends.iter().enumerate() {
        targets.push(json!({
            "name": format!("t{index}"),
            "address": backend.address(),
            "availability_zone": ZONES[index % ZONES.len()],
            "slots": 6,
            "connections": 200,
        }));
    }
    json!({
        "organisation": "test",
        "availability_zones": ZONES,
        "services": [{
            "name": "register",
            "routes": [{ "path_prefix": "/" }],
            "never_run_twice": ["POST"],
            "callers_wait_ms": 5000,
            "cold_target_bears": 2,
            "cold_lasts_ms": 300,
            "measuring_per_second": 2,
            "targets": targets,
        }],
    })
}

/// Writes the configuration generated from `questionnaire` to the store, as `generation`.
pub(crate) async fn put_configuration(store: SocketAddr, questionnaire: &Value, generation: u64) {
    let answers = questionnaire::read(questionnaire.to_string().as_bytes()).unwrap();
    let change = ChangeId::new(format!("test-{generation}"));
    let cfg: Configuration =
        questionnaire::generate(&answers, Generation(generation), change).unwrap();
    let record = codec::to_json(&records::configuration_record(&cfg)).unwrap();
    let client = StoreClient::new(vec![store], WAIT_TIMEOUT).unwrap();
    let current = client.read(keys::CONFIGURATION).await.unwrap();
    let expected = StoreVersion(current.map_or(0, |entry| entry.version));
    client.write(keys::CONFIGURATION, record, expected, None).await.unwrap();
}

/// A gateway process, which is killed when the value is dropped.
pub(crate) struct Gateway {
    child: Child,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for operators.
    pub(crate) operators: SocketAddr,
    /// Address for other gateways.
    #[allow(dead_code, reason = "read by the tests with large fleets")]
    pub(crate) peers: SocketAddr,
}

impl Gateway {
    /// Starts the gateway `gw-INDEX`.
    #[allow(dead_code, reason = "used by the tests with large fleets")]
    pub(crate) fn start(index: usize, store: SocketAddr) -> Self {
        Self::start_with_peers(index, store, &[])
    }

    /// Starts the gateway `gw-INDEX` with the peer addresses of some other gateways.
    #[allow(dead_code, reason = "used by some test binaries")]
    pub(crate) fn start_with_peers(index: usize, store: SocketAddr, peers: &[SocketAddr]) -> Self {
        Self::start_with(index, store, peers, |_| {})
    }

    /// Starts the gateway `gw-INDEX` with changed settings.
    pub(crate) fn start_with(
        index: usize,
        store: SocketAddr,
        peers: &[SocketAddr],
        change: fn(&mut Value),
    ) -> Self {
        let any_port = "127.0.0.1:0";
        let mut settings = json!({
            "instance": format!("gw-{index}"),
            "availability_zone": ZONES[index % ZONES.len()],
            "caller_listen": any_port,
            "operator_listen": any_port,
            "peer_listen": any_port,
            "store": [store],
            "peers": peers,
            "drain_notice_ms": 100,
        });
        change(&mut settings);
        let name = format!("ibiscroft-{}-{}-gw-{index}.json", std::process::id(), store.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_ibiscroft-gateway"))
            .arg("--settings")
            .arg(&path)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "off".to_string()))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let _ = std::fs::remove_file(&path);
        let announced: Value = serde_json::from_str(&line).unwrap();
        let address = |field: &str| announced[field].as_str().unwrap().parse().unwrap();
        Self {
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            child,
        }
    }

    /// Sends a signal, such as `libc::SIGTERM`, to the process.
    pub(crate) fn signal(&self, signal: i32) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success(), "kill -{signal}");
    }

    /// Returns the highest resident memory of the process so far, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let file = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(file).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns the number of open file descriptors of the process, 0 if it has exited.
    #[allow(dead_code, reason = "used by the crowd tests")]
    pub(crate) fn open_descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(folder).map_or(0, Iterator::count)
    }

    /// Returns whether the process has ended.
    #[allow(dead_code, reason = "used by the crowd tests")]
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits until the process has ended and returns its exit code, or `None` if a signal ended it.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(begun.elapsed() < WAIT_TIMEOUT, "gateway process has not ended");
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_for(what: &str, holds: impl AsyncFnMut() -> bool) {
    wait_within(WAIT_TIMEOUT, what, holds).await;
}

/// Waits until a condition holds; panics after `timeout`.
pub(crate) async fn wait_within(
    timeout: Duration,
    what: &str,
    mut holds: impl AsyncFnMut() -> bool,
) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < timeout, "timed out after {timeout:?} waiting for: {what}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
