//! A target sends a second copy of some of its answers, late.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::target::{Shared, Spec, Target};
use crate::world::{self, Gateway, Random, Record, RouteSpec};

/// Share of the answers of the faulty target of which a second copy follows.
const COPY_SHARE: f64 = 0.03;
/// Length of a fault, and the pause before the next one.
const FAULT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
/// Number of faults.
const FAULTS: usize = 11;
/// The services and the prefixes of their routes; each has two targets, one of them faulty.
const SERVICES: [(&str, &str); 4] =
    [("d1", "/d1/"), ("d2", "/d2/"), ("d3", "/d3/"), ("d4", "/d4/")];
/// Slots of a target, and the time that an order takes.
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(200);
/// Orders a second for all services; below the 240 that the targets can do.
const ORDERS_PER_S: f64 = 216.0;
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Runs the case; returns whether a rule was broken.
pub fn run(record: &Record, temporary: &str, has_trouble: bool) -> bool {
    let (store, store_address) = Store::start();
    let shared = Arc::new(Shared::default());
    let mut faulty = Vec::new();
    let mut routes = Vec::new();
    for (service, prefix) in SERVICES {
        for is_faulty in [true, false] {
            let name = format!("i-{service}{}", u8::from(is_faulty));
            let spec =
                Spec { name: name.clone(), slots: SLOTS, queue: 2, work: WORK, tells_load: false };
            let target = Target::start(spec, &shared, record);
            let entry = world::target_entry(target.address, service, "a", "ready", SLOTS, 1, 1);
            store.put(&format!("servers/{name}"), &entry);
            if is_faulty {
                faulty.push(Arc::clone(&target.faults));
            }
        }
        routes.push(RouteSpec {
            name: service,
            prefix,
            route_type: "unsafe",
            service,
            timeout_s: 1.5,
            aim_s: 0.6,
            max_attempts: 2,
        });
    }
    store.put("op/config", &world::configuration(1, &routes));
    let gateways: Vec<Gateway> = (1..=2)
        .map(|number| Gateway::start(temporary, &format!("edge-{number}"), "a", store_address))
        .collect();
    for gateway in &gateways {
        gateway.wait_until_ready();
    }
    record.note("gateways are ready");
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let end = Instant::now() + (FAULT + PAUSE) * FAULTS as u32;
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let mut random = Random::new(std::process::id().into());
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let fault_thread = {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(PAUSE);
                let share = if has_trouble { (COPY_SHARE * 1e6) as u64 } else { 0 };
                faulty.iter().for_each(|faults| faults.copy_share.store(share, Ordering::Relaxed));
                record.note(&format!("share of doubled answers is {}", share as f64 / 1e6));
                thread::sleep(FAULT);
                faulty.iter().for_each(|faults| faults.copy_share.store(0, Ordering::Relaxed));
            }
        })
    };
    let mut callers = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{:08x}{number:08x}", std::process::id());
        let front = fronts[number % fronts.len()];
        let (answers, record) = (Arc::clone(&answers), record.clone());
        let (_, prefix) = SERVICES[(random.fraction() * SERVICES.len() as f64) as usize];
        callers.push(thread::spawn(move || order(front, prefix, &id, &answers, &record)));
        let gap = -(1.0 - random.fraction()).ln() / ORDERS_PER_S;
        thread::sleep(Duration::from_secs_f64(gap.min(0.2)));
        callers.retain(|caller| !caller.is_finished());
    }
    for caller in callers {
        let _ = caller.join();
    }
    is_over.store(true, Ordering::Relaxed);
    // Runs that began late are awaited.
    thread::sleep(Duration::from_secs(1));
    drop(gateways);
    drop(fault_thread);
    let answers = answers.lock().unwrap().clone();
    judge(record, &shared, &answers)
}

/// Sends an order on a new connection and records the status of its answer, 0 if there is none.
fn order(front: std::net::SocketAddr, prefix: &str, id: &str, answers: &Mutex<Vec<(String, u16)>>, record: &Record) {
    let body = format!("order {id}");
    let request = format!(
        "POST {prefix}new HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: {id}\r\nIbiscroft-Timeout-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    record.note(&format!("caller sends {id}"));
    let status = http::call(front, request.as_bytes(), DEADLINE).map_or(0, |answer| answer.status());
    record.note(&format!("caller of {id} gets {status}"));
    answers.lock().unwrap().push((id.to_string(), status));
}

/// Returns whether an order ran twice, or ran although its caller was told that it has not.
fn judge(record: &Record, shared: &Shared, answers: &[(String, u16)]) -> bool {
    let runs = shared.runs.lock().unwrap();
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    for (id, status) in answers {
        let count = runs.get(id).map_or(0, Vec::len);
        served += usize::from(*status == 200);
        if count > 1 {
            twice += 1;
            record.note(&format!("TWICE {id}: {:?}", runs[id]));
        }
        if count > 0 && [408, 421, 429, 503].contains(status) {
            refused += 1;
            record.note(&format!("REFUSED {id}: answered {status}, {:?}", runs[id]));
        }
    }
    let line = format!(
        "{} orders, {served} served; {} answers of targets, {} second copies; TWICE {twice}, REFUSED {refused}",
        answers.len(),
        shared.answers.load(Ordering::Relaxed),
        shared.copies.load(Ordering::Relaxed)
    );
    record.note(&line);
    println!("{line}");
    twice + refused > 0
}
