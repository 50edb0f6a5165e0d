//! Backend servers that send bytes without end, in reply to many requests at the same time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use reqwest::Method;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::faulty_target::{Fault, put_before_targets, start_proxy};
use crate::support::{Fleet, FleetOptions, Gateway, WAIT_TIMEOUT, timed_key, wait_for};

/// Bound on the memory that a gateway uses beyond that of its unloaded process, in kilobytes.
const MAX_ADDED_MEMORY_KB: u64 = 64_000;
/// Start of the paths whose requests get bytes without end at the place that follows.
const ENDLESS_PATH: &str = "/endless/";
/// Requests with an endless response at the same time; fewer than the slots of the service.
const ENDLESS_REQUESTS: usize = 8;
/// Requests of other callers meanwhile.
const OTHER_REQUESTS: usize = 20;
/// Time that the callers of endless responses state, in milliseconds.
const DEADLINE_MS: usize = 2_000;
/// Number of fleets that run concurrently.
const CONCURRENT_FLEETS: usize = 4;
/// Pause between the bytes of a slow body; shorter than any timeout of a read.
const SLOW_BODY_PAUSE: Duration = Duration::from_millis(100);
/// Number of backend servers of each of the two services.
const TARGETS: usize = 3;

/// Place in a response at which a backend server sends bytes without end.
struct Place {
    name: &'static str,
    /// Bytes of a body after which the caller disconnects; together clearly more than the bound on
    /// the memory, except for pieces that take long to forward.
    max_read: usize,
}

const fn place(name: &'static str) -> Place {
    Place { name, max_read: 16 << 20 }
}

const PLACES: [Place; 9] = [
    place("field"),
    place("fields"),
    place("body"),
    place("refusal-body"),
    place("close-delimited-body"),
    Place { name: "one-byte-chunks", max_read: 16 << 10 },
    place("chunk-extension"),
    place("trailer"),
    place("after-response"),
];

/// Adds a service for [`ENDLESS_PATH`], whose backend servers send endless responses.
fn with_endless_responses(questionnaire: &mut Value) {
    let mut faulty = questionnaire["services"][0].clone();
    questionnaire["services"][0]["targets"].as_array_mut().unwrap().truncate(TARGETS);
    faulty["name"] = "faulty".into();
    faulty["routes"][0]["path_prefix"] = ENDLESS_PATH.into();
    faulty["targets"].as_array_mut().unwrap().drain(..TARGETS);
    put_before_targets(&mut faulty, endless_response);
    // The first service with a matching route serves a request.
    questionnaire["services"].as_array_mut().unwrap().insert(0, faulty);
}

/// Returns the endless response to a request whose path names a place.
fn endless_response(request: &[u8]) -> Option<Fault> {
    let text = String::from_utf8_lossy(request);
    let place = text.split(' ').nth(1)?.strip_prefix(ENDLESS_PATH)?.split('/').next()?;
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    let refused = "HTTP/1.1 503 Full\r\nX-Execution: not_run\r\n";
    let filler = "x".repeat(16_000);
    let chunk = format!("{:x}\r\n{filler}\r\n", filler.len());
    let field = "X: y\r\n".repeat(1_000);
    let (start, repeated) = match place {
        "field" => (format!("{ok}X: "), filler),
        "fields" => (ok.to_string(), field),
        "interim" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
        "body" => (format!("{ok}{chunked}"), chunk),
        "refusal-body" => (format!("{refused}{chunked}"), chunk),
        "close-delimited-body" => (format!("{ok}\r\n"), filler),
        "one-byte-chunks" => (format!("{ok}{chunked}"), "1\r\nx\r\n".repeat(1_000)),
        "chunk-extension" => (format!("{ok}{chunked}4;ext="), filler),
        "trailer" => (format!("{ok}{chunked}4\r\nbody\r\n0\r\n"), field),
        "after-response" => (format!("{ok}Content-Length: 4\r\n\r\nbody"), filler),
        "slow-body" => (format!("{ok}{chunked}"), "1\r\nx\r\n".to_string()),
        _ => return None,
    };
    let pause = if place == "slow-body" { SLOW_BODY_PAUSE } else { Duration::ZERO };
    Some(Fault { start, repeated, pause })
}

async fn start() -> Fleet {
    let options = FleetOptions {
        questionnaire: with_endless_responses,
        starts_cold: true,
        ..FleetOptions::new(1, 2 * TARGETS)
    };
    let fleet = Fleet::start(options).await;
    wait_for("all targets warm", async || {
        for path in ["/warm-up", "/endless/warm-up"] {
            let _ = fleet.request(Method::GET, 0, path).send().await;
        }
        fleet.has_only_warm_targets(0).await
    })
    .await;
    fleet
}

/// Returns a request for an endless response.
fn request_text(method: &Method, place: &str, number: usize) -> String {
    let fields = if *method == Method::POST {
        let key = timed_key(&format!("{place}-{number}"));
        format!("Idempotency-Key: {key}\r\nContent-Length: 5\r\n\r\norder")
    } else {
        "\r\n".to_string()
    };
    format!(
        "{method} {ENDLESS_PATH}{place}/{number} HTTP/1.1\r\nHost: h.example\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n{fields}"
    )
}

/// Sends a request and reads until the gateway closes the connection or `max_read` bytes have
/// arrived; returns the status and the end of what arrived.
async fn read_endless(address: SocketAddr, request: &str, max_read: usize) -> (String, Vec<u8>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let (mut buf, mut length) = (vec![0; 64 << 10], 0);
    let (mut status, mut end) = (String::new(), Vec::new());
    while length < max_read {
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => {
                if length == 0 {
                    status = String::from_utf8_lossy(&buf[9..12]).into_owned();
                }
                length += count;
                end = buf[..count].to_vec();
            }
            _ => break,
        }
    }
    (status, end)
}

/// Sends requests of other callers; returns the statuses other than 200.
async fn unserved(fleet: &Fleet) -> Vec<String> {
    let mut unserved = Vec::new();
    for number in 0..OTHER_REQUESTS {
        match fleet.request(Method::GET, 0, "/x?bytes=100").send().await {
            Ok(res) if res.status() == StatusCode::OK => {}
            Ok(res) => unserved.push(format!("{number}: {}", res.status())),
            Err(error) => unserved.push(format!("{number}: {error}")),
        }
    }
    unserved
}

/// Guards against backend servers whose responses fill the memory of a gateway or keep it from
/// serving the requests of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_responses_take_no_memory_and_requests_of_others_are_served() {
    let mut wrong = Vec::new();
    for places in PLACES.chunks(CONCURRENT_FLEETS) {
        let checks = join_all(places.iter().map(send_many)).await;
        wrong.extend(checks.into_iter().flat_map(|(_, wrong)| wrong));
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Sends requests for endless responses through a fleet of its own, beside requests of others;
/// returns the statuses of the endless responses and what must not be.
async fn send_many(place: &Place) -> (Vec<String>, Vec<String>) {
    let Place { name, max_read } = *place;
    let fleet = start().await;
    let unloaded_kb = fleet.gateways[0].peak_memory_kb();
    let callers = fleet.gateways[0].callers;
    let endless = (0..ENDLESS_REQUESTS).map(async |number| {
        let method = if number % 2 == 0 { Method::GET } else { Method::POST };
        read_endless(callers, &request_text(&method, name, number), max_read).await
    });
    let (responses, unserved) = tokio::join!(join_all(endless), unserved(&fleet));
    let mut wrong = Vec::new();
    if !unserved.is_empty() {
        wrong.push(format!("{name}: others got {unserved:?}"));
    }
    for (status, end) in &responses {
        let is_complete = status == "200" && end.ends_with(b"\r\n0\r\n\r\n");
        if is_complete && name != "after-response" {
            wrong.push(format!("{name}: a complete response"));
        }
    }
    let added_kb = fleet.gateways[0].peak_memory_kb() - unloaded_kb;
    let statuses: Vec<String> = responses.into_iter().map(|(status, _)| status).collect();
    if added_kb > MAX_ADDED_MEMORY_KB {
        wrong.push(format!("{name}: {added_kb} kB over {unloaded_kb} kB"));
    }
    (statuses, wrong)
}

/// Guards against a request that must run at most once whose caller gets no response and whose task
/// never ends, as its response is read before it is forwarded.
#[tokio::test]
async fn slow_endless_response_to_an_at_most_once_request_ends_at_its_deadline() {
    let fleet = start().await;
    let request = request_text(&Method::POST, "slow-body", 0);
    let response = read_endless(fleet.gateways[0].callers, &request, usize::MAX);
    let response = tokio::time::timeout(WAIT_TIMEOUT, response).await;
    let (status, _) = response.expect("no response within 20 s, 2 s allowed");
    assert_eq!(status, "504");
}

/// Guards against interim responses that occupy a traffic thread until the deadlines of their
/// requests, so that requests of others miss theirs.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_interim_responses_end_before_the_deadlines_of_their_requests() {
    let (statuses, wrong) = send_many(&place("interim")).await;
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(statuses.iter().all(|status| status == "502"), "{statuses:?}");
}

/// Guards against a gateway that reads responses faster than their callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_bodies_that_callers_do_not_read_stay_with_the_backend_servers() {
    for place in ["body", "close-delimited-body", "one-byte-chunks"] {
        let fleet = start().await;
        let unloaded_kb = fleet.gateways[0].peak_memory_kb();
        let mut open = Vec::new();
        for number in 0..ENDLESS_REQUESTS {
            let mut stream = TcpStream::connect(fleet.gateways[0].callers).await.unwrap();
            let request = request_text(&Method::GET, place, number);
            stream.write_all(request.as_bytes()).await.unwrap();
            open.push(stream);
        }
        let unserved = unserved(&fleet).await;
        assert!(unserved.is_empty(), "{place}: {unserved:?}");
        let added_kb = fleet.gateways[0].peak_memory_kb() - unloaded_kb;
        assert!(added_kb < MAX_ADDED_MEMORY_KB, "{place}: {added_kb} kB over {unloaded_kb} kB");
    }
}

/// Whether the proxy before the store answers calls with endless bodies.
static IS_STORE_ENDLESS: AtomicBool = AtomicBool::new(false);
/// Number of calls to the store that were answered so.
static ENDLESS_STORE_CALLS: AtomicUsize = AtomicUsize::new(0);
/// Number of those calls before the memory of the gateway is judged.
const MIN_ENDLESS_STORE_CALLS: usize = 5;

fn endless_store_response(_: &[u8]) -> Option<Fault> {
    if !IS_STORE_ENDLESS.load(Ordering::Relaxed) {
        return None;
    }
    ENDLESS_STORE_CALLS.fetch_add(1, Ordering::Relaxed);
    let start = "HTTP/1.1 200 OK\r\n\r\n".to_string();
    Some(Fault { start, repeated: " ".repeat(64 << 10), ..Fault::default() })
}

/// Guards against responses of the store that fill the memory of a gateway.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_responses_of_the_store_take_no_memory() {
    let mut fleet = Fleet::start(FleetOptions::new(0, 1)).await;
    let store = start_proxy(fleet.store.address(), endless_store_response);
    fleet.gateways.push(Gateway::start(0, store));
    fleet.wait_ready(&fleet.gateways[0]).await;
    fleet.warm_up().await;
    let unloaded_kb = fleet.gateways[0].peak_memory_kb();
    IS_STORE_ENDLESS.store(true, Ordering::Relaxed);
    wait_for("calls with endless responses", async || {
        ENDLESS_STORE_CALLS.load(Ordering::Relaxed) >= MIN_ENDLESS_STORE_CALLS
    })
    .await;
    IS_STORE_ENDLESS.store(false, Ordering::Relaxed);
    wait_for("requests are served", async || {
        let res = fleet.request(Method::GET, 0, "/x?bytes=100").send().await;
        res.is_ok_and(|res| res.status() == StatusCode::OK)
    })
    .await;
    let added_kb = fleet.gateways[0].peak_memory_kb() - unloaded_kb;
    assert!(added_kb < MAX_ADDED_MEMORY_KB, "{added_kb} kB over {unloaded_kb} kB");
}
