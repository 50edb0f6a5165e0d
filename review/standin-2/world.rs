//! A small deployment: a store, targets and daemons on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::gateway::{Deploy, Gateway};
use crate::net::{Message, call};
use crate::record::Record;
use crate::store::Store;
use crate::target::{HEALTH_PATH, Plan, Target};

pub const ZONES: [&str; 3] = ["mittelland-bern", "mittelland-olten", "mittelland-biel"];
/// `contact_s` of the sheet.
pub const CONTACT_S: f64 = 3.0;
/// Time that clients wait for an answer.
const CLIENT_TIMEOUT_MS: u64 = 1_500;

/// Result of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub lines: Vec<String>,
}

/// A small deployment; clones share it.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub store: Store,
    store_address: SocketAddr,
    folder: PathBuf,
    deploy: Arc<Deploy>,
    gateways: Arc<Mutex<Vec<Gateway>>>,
    last_id: Arc<AtomicU64>,
    pub is_over: Arc<AtomicBool>,
}

impl World {
    pub fn new(record: &Record) -> Result<Self, String> {
        let deploy = Arc::new(Deploy::read()?);
        let folder = std::env::temp_dir().join(format!("ibiscroft-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("temporary folder: {error}"))?;
        let (store, store_address) = Store::start();
        Ok(Self {
            record: record.clone(),
            store,
            store_address,
            folder,
            deploy,
            gateways: Arc::default(),
            last_id: Arc::default(),
            is_over: Arc::default(),
        })
    }

    /// Writes the configuration: a route of type `kind` for the only service.
    pub fn configure(&self, kind: &str, max_attempts: u32) {
        let text = format!(
            "{{\"version\":\"00000001\",\"routes\":{{\"r-orders\":{{\"host\":\"h.example\",\
             \"prefix\":\"/orders/\",\"route_type\":\"{kind}\",\"timeout_s\":1.5,\"aim_s\":0.5,\
             \"priority\":1,\"service\":\"orders\",\"max_attempts\":{max_attempts}}}}},\
             \"services\":{{\"orders\":{{\"health_check_path\":\"{HEALTH_PATH}\",\
             \"max_connections\":220,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\
             \"warmup_per_s\":20.0}}}},\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
        );
        self.store.put("op/config", &text);
    }

    /// Starts targets of the only service, spread over the zones.
    pub fn start_targets(&self, count: usize, work: Duration, down: Duration) -> Vec<Target> {
        let start = |number: usize| {
            let plan = Plan {
                id: format!("i-{number}0c1d2e"),
                service: "orders".to_string(),
                zone: ZONES[number % ZONES.len()].to_string(),
                work,
                down,
            };
            Target::start(plan, &self.store, &self.record)
        };
        (0..count).map(start).collect()
    }

    /// Starts daemons, spread over the zones, and waits until all are ready.
    pub fn start_gateways(&self, count: usize) -> Result<Vec<Gateway>, String> {
        for number in 0..count {
            let zone = ZONES[number % ZONES.len()];
            let (name, address) = (format!("edge-{number}"), self.store_address);
            let (folder, deploy) = (&self.folder, &self.deploy);
            let gateway = Gateway::start(&name, zone, address, folder, deploy, &self.record)?;
            self.gateways.lock().expect("gateways").push(gateway);
        }
        let gateways = self.gateways.lock().expect("gateways").clone();
        for gateway in &gateways {
            gateway.wait_until_ready()?;
        }
        Ok(gateways)
    }

    /// Sends a request of a client to a daemon and waits for the answer; records both. Returns the
    /// id of the request and the answer.
    pub fn send(
        &self,
        gateway: &Gateway,
        prefix: &str,
        path: &str,
        body: &str,
    ) -> (String, Result<Message, String>) {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{prefix}{number:06x}");
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\n\
             Ibiscroft-Timeout-Ms: {CLIENT_TIMEOUT_MS}\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.record.add("sent", &id, &gateway.name, path);
        let timeout = Duration::from_millis(CLIENT_TIMEOUT_MS + 500);
        let answer = call(&gateway.callers.to_string(), &text, timeout);
        let answer = answer.map_err(|error| error.to_string());
        let detail = match &answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body).trim().to_string();
                format!("{} {body}", answer.status())
            }
            Err(error) => error.clone(),
        };
        self.record.add("answered", &id, &gateway.name, &detail);
        (id, answer)
    }

    /// Sends ordinary requests to the daemons, in a thread, until the case is over.
    pub fn send_ordinary(
        &self,
        gateways: &[Gateway],
        seed: u64,
        pause: Duration,
    ) -> JoinHandle<()> {
        let (world, gateways) = (self.clone(), gateways.to_vec());
        thread::spawn(move || {
            let mut random = Random(seed);
            while !world.is_over.load(Ordering::Relaxed) {
                let gateway = &gateways[random.below(gateways.len())];
                let number = world.last_id.fetch_add(1, Ordering::Relaxed);
                let path = format!("/orders/{number}");
                let _ = world.send(gateway, "o-", &path, &format!("order {number}"));
                thread::sleep(pause);
            }
        })
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for gateway in self.gateways.lock().expect("gateways").iter() {
            gateway.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// Pseudo-random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }
}
