//! Some callers send long bodies, within the limit of the configuration, at the same time.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::store::Store;
use crate::target::{Shared, Spec, Target};
use crate::world::{self, Gateway, MAX_BODY_BYTES, Record, RouteSpec};

/// Number of callers with kept connections, and of those that upload.
const CALLERS: usize = 12;
const UPLOADS: usize = 5;
/// Rate at which an upload is sent; all together stay below the link of 1,000 Mbit/s.
const UPLOAD_BYTES_PER_S: usize = 20 << 20;
/// Length of a body in the run without trouble.
const SHORT_BODY_BYTES: usize = 300;
/// Time until the uploads begin, and length of the case.
const UPLOADS_AT: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(20);
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(8);
/// Interval at which the platform checks the memory of the daemon.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Number of requests that may end so before the rule is broken.
const MAX_LOST: usize = 3;

/// Runs the case; returns whether the rule was broken.
pub fn run(record: &Record, temporary: &str, has_trouble: bool) -> bool {
    let (store, store_address) = Store::start();
    let shared = Arc::new(Shared::default());
    for name in ["i-a1", "i-a2", "i-a3"] {
        let spec = Spec {
            name: name.to_string(),
            slots: 8,
            queue: 8,
            work: Duration::from_millis(400),
            tells_load: true,
        };
        let target = Target::start(spec, &shared, record);
        let entry = world::target_entry(target.address, "desk", "a", "ready", 8, 1, 1);
        store.put(&format!("servers/{name}"), &entry);
    }
    let route = |name, prefix, route_type| RouteSpec {
        name,
        prefix,
        route_type,
        service: "desk",
        timeout_s: 8.0,
        aim_s: 2.0,
        max_attempts: 2,
    };
    let routes = [route("lookups", "/lookups/", "safe"), route("orders", "/orders/", "unsafe")];
    store.put("op/config", &world::configuration(1, &routes));
    let mut gateway = Gateway::start(temporary, "edge-1", "a", store_address);
    gateway.wait_until_ready();
    record.note("gateway is ready");

    let is_over = Arc::new(AtomicBool::new(false));
    let unanswered: Arc<Mutex<HashMap<String, &'static str>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        let (unanswered, front) = (Arc::clone(&unanswered), gateway.callers);
        callers.push(thread::spawn(move || look_up(front, number, &is_over, &unanswered, &record)));
    }
    for number in 0..UPLOADS {
        let (record, front) = (record.clone(), gateway.callers);
        let length = if has_trouble { MAX_BODY_BYTES - (1 << 20) } else { SHORT_BODY_BYTES };
        callers.push(thread::spawn(move || {
            thread::sleep(UPLOADS_AT);
            upload(front, number, length, &record);
        }));
    }
    let end = Instant::now() + LENGTH;
    let mut peak_kb = 0;
    let mut kills = 0;
    while Instant::now() < end {
        thread::sleep(MEMORY_CHECK_INTERVAL);
        peak_kb = peak_kb.max(gateway.memory_kb());
        if gateway.exceeds_memory_limit() {
            record.note(&format!("platform: {} kB, over the limit; killed", gateway.memory_kb()));
            gateway.kill();
            kills += 1;
            thread::sleep(RESTART_DELAY);
            gateway.spawn();
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateway);
    let unanswered = unanswered.lock().unwrap();
    let runs = shared.runs.lock().unwrap();
    let lost: Vec<_> = unanswered.keys().filter(|id| runs.contains_key(*id)).collect();
    for id in &lost {
        record.note(&format!("LOST {id}: {}, runs {:?}", unanswered[*id], runs[*id]));
    }
    let line = format!(
        "peak memory of the gateway {} MB, {kills} kills; {} requests from kept connections passed on and not answered, {MAX_LOST} allowed",
        peak_kb >> 10,
        lost.len()
    );
    record.note(&line);
    println!("{line}");
    lost.len() > MAX_LOST
}

/// Sends requests one after the other on a kept connection.
fn look_up(
    front: SocketAddr,
    caller: usize,
    is_over: &AtomicBool,
    unanswered: &Mutex<HashMap<String, &'static str>>,
    record: &Record,
) {
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
            let request = format!(
                "GET /lookups/x HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: {}\r\n\r\n",
                DEADLINE.as_millis()
            );
            let sent = Instant::now();
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let Some(answer) = reader.read(&mut stream, true) else {
                let reason = if sent.elapsed() < DEADLINE { "connection closed" } else { "no answer" };
                record.note(&format!("caller of {id}: {reason}"));
                unanswered.lock().unwrap().insert(id, reason);
                break;
            };
            record.note(&format!("caller of {id} gets {}", answer.status()));
            if answer.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends an order with a body of `length` bytes.
fn upload(front: SocketAddr, number: usize, length: usize, record: &Record) {
    let id = format!("ffffffff{number:08x}");
    let Ok(mut stream) = TcpStream::connect(front) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(DEADLINE));
    let head = format!(
        "POST /orders/new HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: {}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    record.note(&format!("caller sends {id} with {length} bytes"));
    let started = Instant::now();
    let mut sent = 0;
    let mut result = stream.write_all(head.as_bytes());
    let chunk = vec![b'x'; 64 << 10];
    while sent < length && result.is_ok() {
        let count = chunk.len().min(length - sent);
        result = stream.write_all(&chunk[..count]);
        sent += count;
        let due = Duration::from_secs_f64(sent as f64 / UPLOAD_BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let status = Reader::new().read(&mut stream, true).map_or(0, |answer| answer.status());
    record.note(&format!("caller of {id} sent {sent} bytes and gets {status}"));
}
