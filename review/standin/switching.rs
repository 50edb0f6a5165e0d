//! A target answers some requests with bytes that are no response to them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::Reader;
use crate::store::Store;
use crate::target::{Shared, Spec, Target};
use crate::world::{self, Gateway, Record, RouteSpec};

/// Share of the answers of the faulty target that are no response.
const SHARE: f64 = 0.02;
/// Length of a fault, the pause before it, and the number of faults.
const FAULT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
const FAULTS: usize = 3;
/// Number of callers, each with a kept connection.
const CALLERS: usize = 10;
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// What callers received.
#[derive(Default)]
struct Counts {
    answers: AtomicUsize,
    /// Heads with a status that ends no request.
    no_answers: AtomicUsize,
    /// Those of the requests above whose connection was closed then.
    closed: AtomicUsize,
}

/// Runs the case; returns whether the rule was broken.
pub fn run(record: &Record, temporary: &str, has_trouble: bool) -> bool {
    let (store, store_address) = Store::start();
    let shared = Arc::new(Shared::default());
    let mut targets = Vec::new();
    for name in ["i-a1", "i-a2", "i-a3"] {
        let work = Duration::from_millis(30);
        let spec = Spec { name: name.to_string(), slots: 8, queue: 8, work, tells_load: true };
        let target = Target::start(spec, &shared, record);
        let entry = world::target_entry(target.address, "desk", "a", "ready", 8, 1, 1);
        store.put(&format!("servers/{name}"), &entry);
        targets.push(target);
    }
    let route = |name, prefix, route_type| RouteSpec {
        name,
        prefix,
        route_type,
        service: "desk",
        timeout_s: 1.5,
        aim_s: 0.6,
        max_attempts: 2,
    };
    let routes = [route("lookups", "/lookups/", "safe"), route("orders", "/orders/", "unsafe")];
    store.put("op/config", &world::configuration(1, &routes));
    let gateway = Gateway::start(temporary, "edge-1", "a", store_address);
    gateway.wait_until_ready();
    record.note("gateway is ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        let (counts, front) = (Arc::clone(&counts), gateway.callers);
        callers.push(thread::spawn(move || call(front, number, &is_over, &counts, &record)));
    }
    for _ in 0..FAULTS {
        thread::sleep(PAUSE);
        let share = if has_trouble { (SHARE * 1e6) as u64 } else { 0 };
        targets[0].faults.switch_share.store(share, Ordering::Relaxed);
        thread::sleep(FAULT);
        targets[0].faults.switch_share.store(0, Ordering::Relaxed);
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateway);
    let no_answers = counts.no_answers.load(Ordering::Relaxed);
    let line = format!(
        "{} answers; MIXED {no_answers}: bytes that are no answer, {} of these connections closed without one",
        counts.answers.load(Ordering::Relaxed),
        counts.closed.load(Ordering::Relaxed)
    );
    record.note(&line);
    println!("{line}");
    no_answers > 0
}

/// Sends lookups and orders by turns on a kept connection.
fn call(front: SocketAddr, caller: usize, is_over: &AtomicBool, counts: &Counts, record: &Record) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(front) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(DEADLINE));
        let mut reader = Reader::new();
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{caller:08x}{number:08x}");
            let line = if number % 2 == 0 { "POST /orders/new" } else { "GET /lookups/x" };
            let request = format!(
                "{line} HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                DEADLINE.as_millis()
            );
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let Some(answer) = reader.read(&mut stream, true) else {
                record.note(&format!("caller of {id}: connection closed"));
                break;
            };
            if answer.status() >= 200 {
                counts.answers.fetch_add(1, Ordering::Relaxed);
                record.note(&format!("caller of {id} gets {}", answer.status()));
                continue;
            }
            // A status below 200 ends no request; the answer may still follow.
            counts.no_answers.fetch_add(1, Ordering::Relaxed);
            record.note(&format!("MIXED {line} {id}: its caller gets {:?}", answer.head));
            let next = reader.read(&mut stream, true);
            if next.is_none() {
                counts.closed.fetch_add(1, Ordering::Relaxed);
            }
            record.note(&format!("caller of {id}: then {:?}", next.map(|next| next.head)));
            break;
        }
    }
}
