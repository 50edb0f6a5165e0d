//! A gateway is stopped as planned while callers keep connections to it.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::store::Store;
use crate::target::{Shared, Spec, Target};
use crate::world::{self, Gateway, Record, RouteSpec};

/// Time between SIGTERM and SIGKILL, as in the large deployment.
const GRACE_S: u32 = 10;
/// Number of callers, each with a kept connection.
const CALLERS: usize = 8;
/// When the first caller sends after SIGTERM, and the pause until the next one does.
const FIRST_REQUEST: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(450);
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(10);
/// Requests sent later than this after SIGTERM aren't excused if their targets work long.
const EXCUSED: f64 = 3.0;

/// What became of a request.
struct Outcome {
    id: String,
    /// Time of the request and of its end since SIGTERM.
    sent: f64,
    ended: f64,
    status: Option<u16>,
}

/// Runs the case; returns whether the rule was broken.
pub fn run(record: &Record, temporary: &str, has_trouble: bool) -> bool {
    let (store, store_address) = Store::start();
    let shared = Arc::new(Shared::default());
    for name in ["i-a1", "i-a2", "i-a3"] {
        let work = Duration::from_millis(1_300);
        let spec = Spec { name: name.to_string(), slots: 6, queue: 6, work, tells_load: true };
        let target = Target::start(spec, &shared, record);
        let entry = world::target_entry(target.address, "desk", "a", "ready", 6, 1, 1);
        store.put(&format!("servers/{name}"), &entry);
    }
    let route = RouteSpec {
        name: "reads",
        prefix: "/reads/",
        route_type: "safe",
        service: "desk",
        timeout_s: 10.0,
        aim_s: 7.0,
        max_attempts: 2,
    };
    store.put("op/config", &world::configuration(1, &[route]));
    let mut gateways: Vec<Gateway> = (1..=2)
        .map(|number| {
            let name = format!("edge-{number}");
            Gateway::start_with_grace(temporary, &name, "a", store_address, GRACE_S)
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_until_ready();
    }
    record.note("gateways are ready");
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    // Each caller has made a request on its connection and keeps it.
    let connections: Vec<Option<(TcpStream, Reader)>> =
        (0..CALLERS).map(|number| connect(gateways[0].callers, number, record)).collect();
    if connections.iter().any(Option::is_none) {
        eprintln!("a request before the stop failed");
        std::process::exit(world::COULD_NOT_RUN);
    }
    let stopped_at = Instant::now();
    if has_trouble {
        record.note("platform: SIGTERM for edge-1");
        gateways[0].signal("TERM");
    }
    let mut callers = Vec::new();
    for (number, connection) in connections.into_iter().flatten().enumerate() {
        let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
        callers.push(thread::spawn(move || {
            thread::sleep(FIRST_REQUEST + PAUSE * number as u32);
            read_long(connection, number, stopped_at, &record, &outcomes);
        }));
    }
    let has_ended =
        has_trouble && gateways[0].wait_for_end(Duration::from_secs(GRACE_S.into()));
    if has_trouble {
        let seconds = stopped_at.elapsed().as_secs_f64();
        record.note(&format!("edge-1 has ended: {has_ended}, {seconds:.2} s after SIGTERM"));
        gateways[0].kill();
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateways);
    let runs = shared.runs.lock().unwrap();
    let mut lost = 0;
    for outcome in outcomes.lock().unwrap().iter() {
        let Outcome { id, sent, ended, status } = outcome;
        let was_passed_on = runs.contains_key(id);
        record.note(&format!(
            "{id}: sent {sent:.2} s after SIGTERM, passed on: {was_passed_on}, ended at {ended:.2} s with {status:?}"
        ));
        let is_excused = *sent <= EXCUSED || ended - sent >= DEADLINE.as_secs_f64();
        if status.is_none() && was_passed_on && !is_excused {
            lost += 1;
            record.note(&format!("LOST {id}"));
        }
    }
    let line = format!("{CALLERS} requests after the stop; LOST {lost}");
    record.note(&line);
    println!("{line}");
    lost > 0
}

fn request(id: &str, path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Opens a connection and makes a short request on it.
fn connect(front: SocketAddr, number: usize, record: &Record) -> Option<(TcpStream, Reader)> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let mut reader = Reader::new();
    stream.write_all(request(&format!("00{number:02x}"), "/reads/short").as_bytes()).ok()?;
    let answer = reader.read(&mut stream, true)?;
    record.note(&format!("caller {number} has a kept connection; {}", answer.status()));
    (answer.status() == 200).then_some((stream, reader))
}

/// Sends a request that takes long on a kept connection.
fn read_long(
    (mut stream, mut reader): (TcpStream, Reader),
    number: usize,
    stopped_at: Instant,
    record: &Record,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let id = format!("01{number:02x}");
    let sent = stopped_at.elapsed().as_secs_f64();
    record.note(&format!("caller {number} sends {id}"));
    let is_sent = stream.write_all(request(&id, "/reads/long").as_bytes()).is_ok();
    let answer = if is_sent { reader.read(&mut stream, true) } else { None };
    let status = answer.filter(|answer| answer.is_complete).map(|answer| answer.status());
    let ended = stopped_at.elapsed().as_secs_f64();
    record.note(&format!("caller {number} of {id}: {status:?}"));
    outcomes.lock().unwrap().push(Outcome { id, sent, ended, status });
}
