//! What all cases use: the record, random numbers, the daemons and the configuration.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Largest body that callers may send, as in the platform's example of a configuration.
pub const MAX_BODY_BYTES: usize = 67_108_864;
/// Memory limit of a daemon, `limits.memory_mb` in the platform's example of its settings.
const MEMORY_MB: u64 = 260;
/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;
/// Time within which a daemon has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Writes `record.txt` with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("create record");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn note(&self, line: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.4} {line}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Pseudorandom numbers (xorshift64*), seeded for each thread.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number in 0..1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A daemon, started with the command and the template of the deploy file.
pub struct Gateway {
    pub name: String,
    child: Option<Child>,
    pub callers: SocketAddr,
    pub status: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Gateway {
    /// Writes the settings of a daemon of a small deployment and starts it.
    pub fn start(folder: &str, name: &str, zone: &str, store: SocketAddr) -> Self {
        Self::start_with_grace(folder, name, zone, store, 6)
    }

    /// Writes the settings of a daemon, with the time that it has after SIGTERM, and starts it.
    pub fn start_with_grace(
        folder: &str,
        name: &str,
        zone: &str,
        store: SocketAddr,
        grace_s: u32,
    ) -> Self {
        let folder = PathBuf::from(folder);
        let (callers, status, mesh) = (free_address(), free_address(), free_address());
        let template = std::fs::read_to_string("deploy/settings.json").expect("read template");
        let values = [
            ("{{node_name|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", format!("\"{zone}\"")),
            ("{{listen.front|json}}", format!("\"{callers}\"")),
            ("{{listen.ready|json}}", format!("\"{status}\"")),
            ("{{ip}}", mesh.ip().to_string()),
            ("{{internal_port_range.0}}", mesh.port().to_string()),
            ("{{platform.address|json}}", format!("\"{store}\"")),
            ("{{bounds.retry_budget_ratio|json}}", "0.2".to_string()),
            ("{{bounds.budget_min_retries|json}}", "58".to_string()),
            ("{{bounds.budget_window_s|json}}", "10".to_string()),
            ("{{bounds.probes_per_s|json}}", "60".to_string()),
            ("{{limits.cpu_share|json}}", "0.2".to_string()),
            ("{{limits.link_mbps|json}}", "1000.0".to_string()),
            ("{{bounds.grace_s|json}}", grace_s.to_string()),
        ];
        let mut text = template;
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        if text.contains("{{") {
            eprintln!("the template has a placeholder that this case does not know:\n{text}");
            std::process::exit(COULD_NOT_RUN);
        }
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("write settings");
        let mut gateway =
            Self { name: name.to_string(), child: None, callers, status, settings, folder };
        gateway.spawn();
        gateway
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let log = |kind: &str| {
            let path = self.folder.join(format!("{}.{kind}", self.name));
            let file = File::options().create(true).append(true).open(path).expect("open log");
            Stdio::from(file)
        };
        let child = Command::new("target/release/ibiscroft-edge")
            .env_clear()
            .env("IBISCROFT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log("log"))
            .stderr(log("err"))
            .spawn();
        match child {
            Ok(child) => {
                // For `run.sh`, which ends what is left if this process is killed.
                let path = self.folder.join("processes");
                let file = File::options().create(true).append(true).open(path);
                let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("start target/release/ibiscroft-edge: {error}");
                std::process::exit(COULD_NOT_RUN);
            }
        }
    }

    /// Waits until the daemon reports itself ready.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > until {
                eprintln!("{} does not become ready", self.name);
                std::process::exit(COULD_NOT_RUN);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns whether `/readyz` responds with 200.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(self.status, request, Duration::from_millis(500))
            .is_some_and(|response| response.status() == 200)
    }

    /// Sends a signal, such as `TERM`; the process has not been reaped, so the id is its own.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        }
    }

    /// Waits until the process has ended, at most for `timeout`.
    pub fn wait_for_end(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while let Some(child) = &mut self.child {
            if child.try_wait().ok().flatten().is_some() {
                self.child = None;
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Returns the resident memory of the process in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }

    /// Returns whether the process holds more memory than it may; the platform then kills it.
    pub fn exceeds_memory_limit(&self) -> bool {
        self.memory_kb() > MEMORY_MB << 10
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("free port")
}

/// A route of the configuration, from prefix and type to one service.
pub struct RouteSpec {
    pub name: &'static str,
    pub prefix: &'static str,
    pub route_type: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub aim_s: f64,
    pub max_attempts: u32,
}

/// Returns a configuration for host `h.example` with the services of `routes`.
pub fn configuration(version: u32, routes: &[RouteSpec]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "\"{name}\":{{\"health_check_path\":\"/healthz\",\"max_connections\":220,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3,\"warmup_per_s\":20}}"
            )
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "\"{}\":{{\"host\":\"h.example\",\"prefix\":\"{}\",\"route_type\":\"{}\",\"timeout_s\":{},\"aim_s\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":{}}}",
                route.name, route.prefix, route.route_type, route.timeout_s, route.aim_s, route.service, route.max_attempts
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns the entry of a target in the store.
pub fn target_entry(address: SocketAddr, service: &str, zone: &str, state: &str, slots: usize, born: u64, sequence: u64) -> String {
    format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"concurrency\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"warmup_left_s\":0}},\"born\":{born}}}"
    )
}
