//! A request crashes each target that runs it and comes again, while gateways are restarted.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::store::Store;
use crate::target::{Shared, Spec, Target};
use crate::world::{self, Gateway, Record, RouteSpec};

const GATEWAYS: usize = 3;
const TARGETS: [&str; 6] = ["i-a1", "i-a2", "i-a3", "i-a4", "i-a5", "i-a6"];
/// Rounds: in each, the gateways are restarted one after the other, and the request comes again.
const ROUNDS: usize = 3;
/// Time for which a machine has to run without disruption to be in touch, with a margin.
const IN_TOUCH: Duration = Duration::from_millis(3_500);
/// Time after which a crashed target is back.
const TARGET_RESTART: Duration = Duration::from_secs(2);
/// Interval between the orders of other callers.
const ORDER_INTERVAL: Duration = Duration::from_millis(50);
/// Retries that may reach targets once the request has crashed three.
const MAX_RETRIES: usize = 3;

/// Runs the case; returns whether the rule was broken.
pub fn run(record: &Record, temporary: &str, has_trouble: bool) -> bool {
    let (store, store_address) = Store::start();
    let shared = Arc::new(Shared::default());
    for name in TARGETS {
        let work = Duration::from_millis(200);
        let spec = Spec { name: name.to_string(), slots: 6, queue: 6, work, tells_load: true };
        let target = Target::start(spec, &shared, record);
        target.faults.crashes.store(true, Ordering::Relaxed);
        let entry = world::target_entry(target.address, "desk", "a", "ready", 6, 1, 1);
        store.put(&format!("servers/{name}"), &entry);
        let store = store.clone();
        thread::spawn(move || keep_running(&target, &store));
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
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS)
        .map(|number| Gateway::start(temporary, &format!("edge-{number}"), "a", store_address))
        .collect();
    for gateway in &gateways {
        gateway.wait_until_ready();
    }
    thread::sleep(IN_TOUCH);
    record.note("gateways are in touch");
    let is_over = Arc::new(AtomicBool::new(false));
    let lost_orders = Arc::new(AtomicUsize::new(0));
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let orders = {
        let (record, shared) = (record.clone(), Arc::clone(&shared));
        let (is_over, lost_orders) = (Arc::clone(&is_over), Arc::clone(&lost_orders));
        thread::spawn(move || send_orders(&fronts, &shared, &is_over, &lost_orders, &record))
    };
    let mut number = 0;
    for round in 0..=ROUNDS {
        if round > 0 && has_trouble {
            for gateway in &mut gateways {
                record.note(&format!("platform: SIGTERM for {}", gateway.name));
                gateway.signal("TERM");
                gateway.wait_for_end(Duration::from_secs(6));
                gateway.kill();
                gateway.spawn();
                gateway.wait_until_ready();
                record.note(&format!("{} is ready again", gateway.name));
            }
        }
        thread::sleep(IN_TOUCH);
        for gateway in &gateways {
            number += 1;
            let id = format!("{number:016x}");
            let request = format!(
                "GET /lookups/crash HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: 1500\r\nConnection: close\r\n\r\n"
            );
            record.note(&format!("caller sends {id} to {}", gateway.name));
            let answer = http::call(gateway.callers, request.as_bytes(), Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status());
            record.note(&format!("caller of {id} gets {status}"));
            thread::sleep(Duration::from_millis(500));
        }
        thread::sleep(TARGET_RESTART);
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = orders.join();
    drop(gateways);
    let runs = shared.runs.lock().unwrap();
    let crashes = runs.iter().filter(|(id, _)| id.starts_with("00"));
    let mut times: Vec<f64> = crashes.flat_map(|(_, runs)| runs).map(|(at, _)| *at).collect();
    times.sort_by(f64::total_cmp);
    let third = times.get(2).copied().unwrap_or(f64::MAX);
    let later = times.iter().filter(|at| **at > third + 3.0).count();
    let line = format!(
        "{} crashes; BUDGET {later} of them later than 3 s after the third, {MAX_RETRIES} allowed; {} orders of others ran and got no answer of their target",
        times.len(),
        lost_orders.load(Ordering::Relaxed)
    );
    record.note(&line);
    println!("{line}");
    later > MAX_RETRIES
}

/// Sends orders of other callers and counts those that ran and were not answered by their target.
fn send_orders(
    fronts: &[std::net::SocketAddr],
    shared: &Arc<Shared>,
    is_over: &AtomicBool,
    lost_orders: &Arc<AtomicUsize>,
    record: &Record,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let front = fronts[number % fronts.len()];
        let (shared, lost_orders, record) =
            (Arc::clone(shared), Arc::clone(lost_orders), record.clone());
        thread::spawn(move || {
            let id = format!("ff{number:014x}");
            let request = format!(
                "POST /orders/new HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: 1500\r\nConnection: close\r\nContent-Length: 16\r\n\r\n{id}"
            );
            let answer = http::call(front, request.as_bytes(), Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status());
            if status != 200 && shared.runs.lock().unwrap().contains_key(&id) {
                lost_orders.fetch_add(1, Ordering::Relaxed);
                record.note(&format!("order {id} ran and gets {status}"));
            }
        });
        thread::sleep(ORDER_INTERVAL);
    }
    thread::sleep(Duration::from_secs(2));
}

/// Writes the target's entry again and again, and starts the target again after a crash.
fn keep_running(target: &Target, store: &Store) {
    let mut born = 1;
    let mut sequence = 1;
    loop {
        thread::sleep(Duration::from_millis(200));
        if target.is_down() {
            thread::sleep(TARGET_RESTART);
            while !target.restart() {}
            born += 1;
            sequence = 0;
        }
        sequence += 1;
        if sequence % 7 == 1 {
            let entry = world::target_entry(target.address, "desk", "a", "ready", 6, born, sequence);
            store.put(&format!("servers/{}", target.spec.name), &entry);
        }
    }
}
