//! Starts gateways as processes, with the store and backend servers in the test's own process.

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

/// Longest wait for a state that must come.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between looks at a state.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Availability zones of a fleet; targets and gateways take them in turn.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// What a fleet is made of.
pub(crate) struct FleetOptions {
    /// Gateways.
    pub(crate) gateways: usize,
    /// Options of each backend server.
    pub(crate) backends: Vec<BackendOptions>,
    /// Changes the questionnaire before it is put in force.
    pub(crate) questionnaire: fn(&mut Value),
    /// Whether the test begins before any target is proved warm.
    pub(crate) starts_cold: bool,
}

impl FleetOptions {
    /// Returns a fleet of `gateways` and `backends` that start warm.
    pub(crate) fn new(gateways: usize, backends: usize) -> Self {
        Self {
            gateways,
            backends: vec![BackendOptions::default(); backends],
            questionnaire: |_| {},
            starts_cold: false,
        }
    }
}

/// A store, backend servers and gateways that serve one service at `/`; POST runs at most once.
pub(crate) struct Fleet {
    pub(crate) store: RunningStore,
    pub(crate) backends: Vec<RunningBackend>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) http: reqwest::Client,
}

impl Fleet {
    /// Starts a fleet and waits until each gateway is ready.
    pub(crate) async fn start(options: FleetOptions) -> Self {
        let store = Store::start(StoreOptions::default()).await.unwrap();
        let mut backends = Vec::new();
        for (index, mut backend) in options.backends.into_iter().enumerate() {
            backend.name = format!("t{index}");
            backends.push(Backend::start(backend).await.unwrap());
        }
        let mut answers = answers(&backends);
        (options.questionnaire)(&mut answers);
        put_configuration(store.address(), &answers, 1).await;
        let mut gateways = Vec::new();
        for index in 0..options.gateways {
            gateways.push(Gateway::start(index, store.address()));
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

    /// Sends requests until each gateway takes each target for warm; sets the counters to zero.
    pub(crate) async fn warm_up(&self) {
        for gateway in 0..self.gateways.len() {
            self.warm_up_gateway(gateway).await;
        }
        for backend in &self.backends {
            backend.reset();
        }
    }

    /// Sends requests through one gateway until it takes each target for warm.
    pub(crate) async fn warm_up_gateway(&self, gateway: usize) {
        wait_for("all targets warm", async || {
            let _ = self.request(reqwest::Method::GET, gateway, "/warm-up").send().await;
            self.has_only_warm_targets(gateway).await
        })
        .await;
    }

    /// Returns whether a gateway takes each target for warm.
    pub(crate) async fn has_only_warm_targets(&self, gateway: usize) -> bool {
        let dump = self.dump(gateway).await;
        let targets = dump["targets"].as_array().unwrap();
        !targets.is_empty() && targets.iter().all(|target| target["state"] == "warm")
    }

    /// Waits until a gateway says that it is ready.
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

    /// Makes a request through a gateway.
    pub(crate) fn request(
        &self,
        method: reqwest::Method,
        gateway: usize,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.gateways[gateway].callers);
        self.http.request(method, url)
    }

    /// Sends an order with an idempotency key.
    pub(crate) async fn order(&self, gateway: usize, path: &str, key: &str) -> reqwest::Response {
        let req = self.request(reqwest::Method::POST, gateway, path);
        req.header("idempotency-key", key).body("order").send().await.unwrap()
    }
}

/// Returns an idempotency key that carries the present time.
pub(crate) fn timed_key(name: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{}-{name}", now.as_millis())
}

/// Returns a questionnaire for one service on `backends`.
pub(crate) fn answers(backends: &[RunningBackend]) -> Value {
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

/// Puts the configuration of `answers` in force as `generation`.
pub(crate) async fn put_configuration(store: SocketAddr, answers: &Value, generation: u64) {
    let answers = questionnaire::read(answers.to_string().as_bytes()).unwrap();
    let change = ChangeId::new(format!("test-{generation}"));
    let cfg: Configuration =
        questionnaire::generate(&answers, Generation(generation), change).unwrap();
    let record = codec::to_json(&records::configuration_record(&cfg)).unwrap();
    let client = StoreClient::new(vec![store], PATIENCE).unwrap();
    let found = client.read(keys::CONFIGURATION).await.unwrap();
    let expected = StoreVersion(found.map_or(0, |entry| entry.version));
    client.write(keys::CONFIGURATION, record, expected, None).await.unwrap();
}

/// A gateway process; killed when dropped.
pub(crate) struct Gateway {
    child: Child,
    /// Where callers connect.
    pub(crate) callers: SocketAddr,
    /// Where operators connect.
    pub(crate) operators: SocketAddr,
    /// Where other gateways connect.
    #[allow(dead_code, reason = "read by the tests with large fleets")]
    pub(crate) peers: SocketAddr,
}

impl Gateway {
    /// Starts the gateway `gw-INDEX`.
    pub(crate) fn start(index: usize, store: SocketAddr) -> Self {
        Self::start_with_peers(index, store, &[])
    }

    /// Starts the gateway `gw-INDEX` with the addresses of some other gateways.
    pub(crate) fn start_with_peers(index: usize, store: SocketAddr, peers: &[SocketAddr]) -> Self {
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "instance": format!("gw-{index}"),
            "availability_zone": ZONES[index % ZONES.len()],
            "caller_listen": any_port,
            "operator_listen": any_port,
            "peer_listen": any_port,
            "store": [store],
            "peers": peers,
            "drain_notice_ms": 100,
        });
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

    /// Sends a signal to the process, as `libc::SIGTERM`.
    pub(crate) fn signal(&self, signal: i32) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success(), "kill -{signal}");
    }

    /// Waits for the end of the process and returns its exit code.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(begun.elapsed() < PATIENCE, "the gateway still runs");
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Looks at a state until it holds; panics after [`PATIENCE`].
pub(crate) async fn wait_for(what: &str, holds: impl AsyncFnMut() -> bool) {
    wait_within(PATIENCE, what, holds).await;
}

/// Looks at a state until it holds; panics after `limit`.
pub(crate) async fn wait_within(limit: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < limit, "did not come: {what}");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
