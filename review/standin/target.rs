//! Stand-in of a backend server with slots and a short queue.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};
use crate::world::{Random, Record};

/// Time that a request takes whose path ends in `long`.
pub const LONG_WORK: Duration = Duration::from_secs(6);

/// Load of a target.
#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// Properties of a target.
#[derive(Clone)]
pub struct Spec {
    pub name: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Whether it states its load and answers health checks at once; otherwise a health check waits
    /// for a slot or is rejected like any other request.
    pub tells_load: bool,
}

/// What all targets of a case share.
#[derive(Default)]
pub struct Shared {
    /// Times at which each request began to run, by its id, with the target.
    pub runs: Mutex<HashMap<String, Vec<(f64, String)>>>,
    /// Arrivals of each request, with the target; those that were rejected included.
    pub arrivals: Mutex<HashMap<String, Vec<(f64, String)>>>,
    /// Number of answers, of health checks too.
    pub answers: AtomicU64,
    /// Number of second copies sent.
    pub copies: AtomicU64,
}

/// Faults of a target.
#[derive(Default)]
pub struct Faults {
    /// Share of the answers of which a second copy follows, in millionths.
    pub copy_share: AtomicU64,
    /// Whether a request whose path ends in `crash` ends the process.
    pub crashes: AtomicBool,
}

/// A target.
#[derive(Clone)]
pub struct Target {
    pub spec: Spec,
    pub address: SocketAddr,
    pub faults: Arc<Faults>,
    shared: Arc<Shared>,
    record: Record,
    load: Arc<(Mutex<Load>, Condvar)>,
    /// Connections of the current run, to close them in a crash.
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
}

impl Target {
    pub fn start(spec: Spec, shared: &Arc<Shared>, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind target");
        let address = listener.local_addr().expect("address of target");
        let target = Self {
            spec,
            address,
            faults: Arc::default(),
            shared: Arc::clone(shared),
            record: record.clone(),
            load: Arc::default(),
            open: Arc::default(),
            is_down: Arc::default(),
        };
        target.clone().listen(listener);
        target
    }

    fn listen(self, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.is_down.load(Ordering::SeqCst) {
                    break;
                }
                if let Ok(copy) = stream.try_clone() {
                    self.open.lock().unwrap().push(copy);
                }
                let target = self.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
    }

    /// Ends the process of the target: closes its port and connections.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // Wakes the listening thread, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the process of the target has ended.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Starts the target again at its address.
    pub fn restart(&self) -> bool {
        for _ in 0..50 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.is_down.store(false, Ordering::SeqCst);
                *self.load.0.lock().unwrap() = Load::default();
                self.clone().listen(listener);
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new();
        let seed = stream.peer_addr().map_or(1, |peer| u64::from(peer.port()));
        let mut random = Random::new(seed);
        while let Some(request) = reader.read(&mut stream, false) {
            let Some(answer) = self.answer(&request) else {
                return;
            };
            let is_health = request.word(1) == "/healthz";
            self.shared.answers.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let share = self.faults.copy_share.load(Ordering::Relaxed) as f64 / 1e6;
            if random.fraction() < share {
                let delay = Duration::from_secs_f64(0.002 + 0.398 * random.fraction());
                let id = request.field("ibiscroft-request-id").unwrap_or("-").to_string();
                let line = answer.lines().next().unwrap_or("").to_string();
                let kind = if is_health { "health check" } else { "request" };
                self.shared.copies.fetch_add(1, Ordering::Relaxed);
                self.record.note(&format!(
                    "target {} sends a second copy of {line:?} ({kind} {id}) after {delay:?}",
                    self.spec.name
                ));
                if let Ok(mut copy) = stream.try_clone() {
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let _ = copy.write_all(answer.as_bytes());
                    });
                }
            }
        }
    }

    /// Handles a request; `None` if the connection is to be closed.
    fn answer(&self, request: &Message) -> Option<String> {
        let name = &self.spec.name;
        if request.word(1) == "/healthz" {
            if self.spec.tells_load {
                let load = self.load.0.lock().unwrap();
                let fields = format!(
                    "Ibiscroft-Instance-Id: {name}\r\nIbiscroft-Server-Load: {},{},{}\r\n",
                    load.running, load.waiting, self.spec.slots
                );
                return Some(response("200 OK", &fields, ""));
            }
            if !self.take_slot() {
                return Some(shed(""));
            }
            self.free_slot();
            return Some(response("200 OK", &format!("Ibiscroft-Instance-Id: {name}\r\n"), ""));
        }
        let id = request.field("ibiscroft-request-id").unwrap_or("").to_string();
        self.note(&self.shared.arrivals, &id);
        if request.field("ibiscroft-expected-instance").is_some_and(|expected| expected != name) {
            let fields = format!("Ibiscroft-Instance-Id: {name}\r\n");
            return Some(response("421 Misdirected Request", &fields, ""));
        }
        if !self.take_slot() {
            self.record.note(&format!("target {name} sheds {id}"));
            return Some(shed(&id));
        }
        self.note(&self.shared.runs, &id);
        self.record.note(&format!("target {name} runs {id} {}", request.word(1)));
        if self.faults.crashes.load(Ordering::Relaxed) && request.word(1).ends_with("crash") {
            self.record.note(&format!("target {name} crashes"));
            self.crash();
            return None;
        }
        let work = if request.word(1).ends_with("long") { LONG_WORK } else { self.spec.work };
        thread::sleep(work);
        self.free_slot();
        let fields = format!("Ibiscroft-Request-Id: {id}\r\nIbiscroft-Response-Seal: seal-{name}-{id}\r\n");
        Some(response("200 OK", &fields, &format!("answer to {id}")))
    }

    fn note(&self, list: &Mutex<HashMap<String, Vec<(f64, String)>>>, id: &str) {
        let entry = (self.record.seconds(), self.spec.name.clone());
        list.lock().unwrap().entry(id.to_string()).or_default().push(entry);
    }

    /// Takes a slot, after a wait in the queue; returns whether there was room.
    fn take_slot(&self) -> bool {
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.running >= self.spec.slots {
            if load.waiting >= self.spec.queue {
                return false;
            }
            load.waiting += 1;
            let until = Instant::now() + Duration::from_secs(8);
            while load.running >= self.spec.slots && Instant::now() < until {
                load = changed.wait_timeout(load, Duration::from_millis(500)).unwrap().0;
            }
            load.waiting = load.waiting.saturating_sub(1);
        }
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        load.running = load.running.saturating_sub(1);
        changed.notify_one();
    }
}

/// Returns the answer that says that a request has not run. It repeats the id of the request; a
/// health check has none.
fn shed(id: &str) -> String {
    let id = if id.is_empty() { String::new() } else { format!("Ibiscroft-Request-Id: {id}\r\n") };
    response("503 Service Unavailable", &format!("{id}Ibiscroft-Not-Executed: 1\r\n"), "")
}

fn response(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
