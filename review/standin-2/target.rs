//! Targets, as PROTOCOL.md describes them.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::net::{Message, read_message, respond};
use crate::record::Record;
use crate::store::Store;

pub const HEALTH_PATH: &str = "/healthz";
/// Interval at which a target writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Requests that a target processes concurrently, and that it queues beyond them.
const SLOTS: u64 = 6;
const QUEUE: u64 = 12;
/// Part of the path of a request that crashes the target which begins to run it.
pub const POISON: &str = "poison";
/// Of this many returns after a crash, one is under the former id; the others are under a new one.
const RETURNS_PER_FORMER_ID: u64 = 4;
/// Number of returns of all targets so far.
static RETURNS: AtomicU64 = AtomicU64::new(1);
/// Time that a target works on such a request before it crashes.
const POISON_TIME: Duration = Duration::from_millis(20);

/// What a target does.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Time to process a request.
    pub work: Duration,
    /// Time after a crash until the target is back.
    pub down: Duration,
}

struct State {
    /// Number of the present run; rises with each crash.
    run: u64,
    is_up: bool,
    born: u64,
    sequence: u64,
    connections: HashMap<u64, TcpStream>,
}

/// A target; clones share its state.
#[derive(Clone)]
pub struct Target {
    pub plan: Arc<Plan>,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
    running: Arc<AtomicU64>,
    connection_count: Arc<AtomicU64>,
    is_listening: Arc<AtomicBool>,
}

impl Target {
    /// Starts a target on a free port and registers it.
    pub fn start(plan: Plan, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen for a target");
        let address = listener.local_addr().expect("address of a target");
        let state = State {
            run: 0,
            is_up: true,
            born: unix_millis(),
            sequence: 0,
            connections: HashMap::new(),
        };
        let target = Self {
            plan: Arc::new(plan),
            address,
            store: store.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(state)),
            running: Arc::default(),
            connection_count: Arc::default(),
            is_listening: Arc::default(),
        };
        target.listen(listener, 0);
        target.register();
        let beating = target.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.state.lock().expect("state").is_up {
                    beating.register();
                }
            }
        });
        target
    }

    /// Writes the entry of the target.
    fn register(&self) {
        let mut state = self.state.lock().expect("state");
        state.sequence += 1;
        let (born, sequence) = (state.born, state.sequence);
        let Plan { id, service, zone, .. } = &*self.plan;
        let address = self.address;
        let entry = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
             \"zone\":\"{zone}\",\"version\":\"v1\",\"concurrency\":{SLOTS}}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"warmup_left_s\":0.0}}}}"
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Accepts connections until the run ends.
    fn listen(&self, listener: TcpListener, run: u64) {
        listener.set_nonblocking(true).expect("set the listener of a target");
        self.is_listening.store(true, Ordering::SeqCst);
        let target = self.clone();
        thread::spawn(move || {
            loop {
                if target.state.lock().expect("state").run != run {
                    break;
                }
                match listener.accept() {
                    Ok((stream, _)) => target.accept(stream, run),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            target.is_listening.store(false, Ordering::SeqCst);
        });
    }

    fn accept(&self, stream: TcpStream, run: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let number = self.connection_count.fetch_add(1, Ordering::SeqCst);
        let mut state = self.state.lock().expect("state");
        if state.run != run {
            return;
        }
        state.connections.insert(number, copy);
        drop(state);
        let target = self.clone();
        thread::spawn(move || {
            target.serve(stream, run);
            target.state.lock().expect("state").connections.remove(&number);
        });
    }

    fn is_in_run(&self, run: u64) -> bool {
        self.state.lock().expect("state").run == run
    }

    fn serve(&self, mut stream: TcpStream, run: u64) {
        let mut buf = Vec::new();
        while let Ok(Some(req)) = read_message(&mut stream, &mut buf) {
            if !self.is_in_run(run) || !self.answer(&mut stream, &req, run) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, stream: &mut TcpStream, req: &Message, run: u64) -> bool {
        let running = self.running.load(Ordering::SeqCst);
        let (busy, waiting) = (running.min(SLOTS), running.saturating_sub(SLOTS));
        let load = format!("Ibiscroft-Server-Load: {busy},{waiting},{SLOTS},100\r\n");
        let id = &self.plan.id;
        if req.path() == HEALTH_PATH {
            let fields = format!("Ibiscroft-Instance-Id: {id}\r\n{load}");
            return respond(stream, "200 OK", &fields, b"").is_ok();
        }
        let request_id = req.field("ibiscroft-request-id").unwrap_or("").to_string();
        let fields = format!("Ibiscroft-Request-Id: {request_id}\r\n{load}");
        let is_expected = req.field("ibiscroft-expected-instance").is_none_or(|name| name == id);
        let refused = format!("{fields}Ibiscroft-Not-Executed: 1\r\n");
        if !is_expected {
            return respond(stream, "421 Misdirected Request", &refused, b"").is_ok();
        }
        self.record.add("reaches", &request_id, id, req.target());
        if running >= SLOTS + QUEUE {
            return respond(stream, "503 Service Unavailable", &refused, b"").is_ok();
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.record.add("runs", &request_id, id, req.target());
        if req.path().contains(POISON) {
            thread::sleep(POISON_TIME);
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.crash(run, &request_id);
            return false;
        }
        thread::sleep(self.plan.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_in_run(run) {
            self.record.add("crashed", &request_id, id, "");
            return false;
        }
        self.record.add("ends", &request_id, id, "");
        let body = format!("done {request_id}\n");
        let fields = format!("{fields}Ibiscroft-Response-Seal: {id}.{request_id}\r\n");
        respond(stream, "200 OK", &fields, body.as_bytes()).is_ok()
    }

    /// Ends the run because of a request: the port and all connections are closed. The target comes
    /// back later as a new run, mostly under a new id.
    fn crash(&self, run: u64, request_id: &str) {
        let mut state = self.state.lock().expect("state");
        if state.run != run {
            return;
        }
        state.run += 1;
        state.is_up = false;
        drop(state);
        while self.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        let connections: Vec<TcpStream> =
            self.state.lock().expect("state").connections.drain().map(|(_, open)| open).collect();
        for mut connection in connections {
            let _ = connection.flush();
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add("crash", request_id, &self.plan.id, "");
        let target = self.clone();
        thread::spawn(move || {
            thread::sleep(target.plan.down);
            let number = RETURNS.fetch_add(1, Ordering::SeqCst);
            if !number.is_multiple_of(RETURNS_PER_FORMER_ID) {
                target.replace(number);
                return;
            }
            let listener = loop {
                match TcpListener::bind(target.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            let mut state = target.state.lock().expect("state");
            state.born = unix_millis();
            state.sequence = 0;
            state.is_up = true;
            let run = state.run;
            drop(state);
            target.listen(listener, run);
            target.record.add("back", "", &target.plan.id, "");
            target.register();
        });
    }

    /// Starts a target with a new id in place of this one, whose entry is removed after three
    /// heartbeat intervals of silence.
    fn replace(&self, number: u64) {
        let id = format!("i-9{number:06x}");
        self.record.add("back", "", &id, &format!("in place of {}", self.plan.id));
        let plan = Plan { id, ..(*self.plan).clone() };
        Self::start(plan, &self.store, &self.record);
        thread::sleep((3 * HEARTBEAT).saturating_sub(self.plan.down));
        self.store.delete(&format!("servers/{}", self.plan.id));
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
