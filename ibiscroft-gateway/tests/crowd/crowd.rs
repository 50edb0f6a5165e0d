//! A gateway on a small machine, and the check of what a crowd of callers makes it use.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use ibiscroft_lab::backend::BackendOptions;
use serde_json::json;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};

use crate::support::{Fleet, FleetOptions, timed_key};

/// Number of callers in a crowd; their bodies are more than twice the memory of the machine.
pub(crate) const CALLERS: usize = 240;
/// Descriptors that the process may open.
pub(crate) const MAX_FDS: usize = 400;
/// Memory of the machine, in megabytes, and the bound on the resident memory in kilobytes.
const MEMORY_MB: u64 = 120;
const MAX_MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1_024;
/// Time for which the callers of a crowd act; afterwards their connections stay open.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// Time after which a test fails if an ordinary request, repeated when it is refused, has no
/// response.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between attempts of an ordinary request.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which open descriptors are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Held by the crowd that runs.
static CROWD: Mutex<()> = Mutex::const_new(());

/// A gateway with two targets, against which one crowd at a time acts.
pub(crate) struct Crowd {
    fleet: Fleet,
    _only: MutexGuard<'static, ()>,
}

impl Crowd {
    /// Starts a gateway on a small machine; without `backends` there are two targets as usual.
    pub(crate) async fn start(backends: &[BackendOptions]) -> Self {
        let only = CROWD.lock().await;
        let mut options = FleetOptions::new(1, 2);
        options.settings = |settings| {
            settings["memory_mb"] = json!(MEMORY_MB);
            settings["max_fds"] = json!(MAX_FDS);
        };
        if !backends.is_empty() {
            options.backends = backends.to_vec();
            options.questionnaire = |questionnaire| {
                let targets = &mut questionnaire["services"][0]["targets"];
                for target in targets.as_array_mut().unwrap() {
                    target["slots"] = json!(200);
                    target["connections"] = json!(1_000);
                }
            };
        }
        Self { fleet: Fleet::start(options).await, _only: only }
    }

    /// Returns the number of requests that targets ran since the start of the crowd.
    pub(crate) fn ran_count(&self) -> u64 {
        self.fleet.backends.iter().map(|backend| backend.counters().ran).sum()
    }

    /// Returns the address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.fleet.gateways[0].callers
    }

    /// Lets callers act on connections of their own and checks the process: it lives, its memory
    /// and its descriptors are bounded, and it answers an ordinary request beside the open
    /// connections.
    pub(crate) async fn check(
        mut self,
        name: &str,
        connections: usize,
        receive_buffer: Option<u32>,
        act: impl AsyncFn(&mut TcpStream, usize),
    ) {
        let address = self.callers();
        let is_over = Cell::new(false);
        let call = async |number| {
            let socket = TcpSocket::new_v4().unwrap();
            if let Some(bytes) = receive_buffer {
                socket.set_recv_buffer_size(bytes).unwrap();
            }
            let mut stream = socket.connect(address).await.ok()?;
            // After the timeout the connection stays open as it is.
            let _ = tokio::time::timeout(CROWD_TIME, act(&mut stream, number)).await;
            Some(stream)
        };
        let gateway = &self.fleet.gateways[0];
        let count_descriptors = async {
            let mut peak = 0;
            while !is_over.get() {
                peak = peak.max(gateway.open_descriptors());
                tokio::time::sleep(COUNT_INTERVAL).await;
            }
            peak
        };
        let run = async {
            let open = join_all((0..connections).map(call)).await;
            let is_answered = self.is_ordinary_request_answered().await;
            is_over.set(true);
            (open, is_answered)
        };
        let ((open, is_answered), descriptors) = tokio::join!(run, count_descriptors);
        let has_exited = self.fleet.gateways[0].has_exited();
        let kb = if has_exited { 0 } else { self.fleet.gateways[0].peak_memory_kb() };
        drop(open);
        let figures = format!(
            "{name}: peak memory {kb} kB (bound {MAX_MEMORY_KB}), {descriptors} descriptors \
             (bound {MAX_FDS}), ordinary request answered: {is_answered}, process ended: \
             {has_exited}"
        );
        println!("{figures}");
        let is_bounded = kb < MAX_MEMORY_KB && descriptors < MAX_FDS;
        assert!(!has_exited && is_bounded && is_answered, "{figures}");
    }

    /// Sends an ordinary request with a body, each time on a connection of its own, until it is
    /// answered; returns whether it was in time.
    async fn is_ordinary_request_answered(&self) -> bool {
        let url = format!("http://{}/ordinary", self.callers());
        let attempts = async {
            loop {
                let http = reqwest::Client::builder().no_proxy().build().unwrap();
                let req = http.post(&url).header("idempotency-key", timed_key("ordinary"));
                if req.body("ordinary").send().await.is_ok_and(|res| res.status() == 200) {
                    break;
                }
                tokio::time::sleep(ATTEMPT_PAUSE).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, attempts).await.is_ok()
    }
}
