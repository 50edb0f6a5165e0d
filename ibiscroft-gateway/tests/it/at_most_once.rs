//! At-most-once requests through gateway processes and the store, checked by how often the backend
//! servers ran the request with each key.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ibiscroft_lab::backend::{BackendControl, ResponseFaults};
use ibiscroft_lab::store::StoreFaults;
use reqwest::{Method, Response};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::support::{Fleet, FleetOptions, put_configuration, questionnaire, timed_key, wait_for};

/// Time after a request's deadline at which the outcome of its claim counts as unknown.
const UNKNOWN_GRACE: Duration = Duration::from_secs(5);

/// Returns how often the backend servers together ran a request with `key`.
fn run_count(fleet: &Fleet, key: &str) -> u32 {
    fleet.backends.iter().map(|backend| backend.executions_of_key(key)).sum()
}

/// Checks the status, problem type and execution of an error response.
async fn expect_problem(res: Response, status: u16, problem: &str, execution: &str) {
    assert_eq!(res.status().as_u16(), status);
    let body: Value = res.json().await.unwrap();
    assert_eq!(body["type"], format!("urn:ibiscroft:problem:{problem}"));
    assert_eq!(body["execution"], execution);
}

/// Returns whether a response is the stored one of an earlier request with the same key.
fn is_replay(res: &Response) -> bool {
    res.headers().get("idempotent-replayed").is_some_and(|value| value == "true")
}

/// Makes backend server 0 run its next request and close the connection without a response.
fn lose_next_response(fleet: &Fleet) {
    let faults = ResponseFaults { count: 1, lose_answer: true, ..ResponseFaults::default() };
    let control = BackendControl { answer_faults: Some(faults), ..BackendControl::default() };
    fleet.backends[0].control(&control);
}

#[tokio::test]
async fn repeated_key_at_any_gateway_gets_the_stored_response() {
    let fleet = Fleet::start(FleetOptions::new(3, 2)).await;
    let key = timed_key("same");
    let first = fleet.send_at_most_once(0, "/order?bytes=64", &key).await;
    assert_eq!(first.status(), 200);
    assert!(!is_replay(&first));
    let first = first.bytes().await.unwrap();
    for gateway in [1, 2, 0] {
        let again = fleet.send_at_most_once(gateway, "/order?bytes=64", &key).await;
        assert_eq!(again.status(), 200);
        assert!(is_replay(&again));
        assert_eq!(again.bytes().await.unwrap(), first);
    }
    assert_eq!(run_count(&fleet, &key), 1);
    let other = fleet.send_at_most_once(1, "/other?bytes=64", &key).await;
    expect_problem(other, 422, "idempotency-key-reused", "not_run").await;
    let large = timed_key("large");
    assert_eq!(
        fleet.send_at_most_once(0, "/order?bytes=5000", &large).await.bytes().await.unwrap().len(),
        5_000
    );
    let again = fleet.send_at_most_once(1, "/order?bytes=5000", &large).await;
    expect_problem(again, 409, "already-ran", "ran").await;
    assert_eq!(run_count(&fleet, &large), 1);
}

struct KeyCase {
    key: &'static str,
    problem: &'static str,
    status: u16,
}

const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        key: "8e03978e-40d5-43dd-bc93-6894a57f9324",
        problem: "idempotency-key-missing",
        status: 400,
    },
    KeyCase { key: "9999999999999-a", problem: "idempotency-key-missing", status: 400 },
    KeyCase { key: "1000000000000-a", problem: "idempotency-key-expired", status: 422 },
];

#[tokio::test]
async fn keys_without_a_valid_recent_timestamp_are_refused() {
    let fleet = Fleet::start(FleetOptions::new(1, 1)).await;
    for case in KEY_CASES {
        let res = fleet.send_at_most_once(0, "/order", case.key).await;
        expect_problem(res, case.status, case.problem, "not_run").await;
        assert_eq!(run_count(&fleet, case.key), 0, "{}", case.key);
    }
}

#[tokio::test]
async fn concurrent_requests_with_one_key_at_two_gateways_run_once() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    for round in 0..10 {
        let key = timed_key(&format!("race-{round}"));
        let path = "/order?bytes=64&work_ms=20";
        let (a, b) = tokio::join!(
            fleet.send_at_most_once(0, path, &key),
            fleet.send_at_most_once(1, path, &key)
        );
        assert_eq!((a.status().as_u16(), b.status().as_u16()), (200, 200), "round {round}");
        assert!(is_replay(&a) != is_replay(&b), "round {round}");
        assert_eq!(run_count(&fleet, &key), 1, "round {round}");
    }
}

#[tokio::test]
async fn lost_store_responses_cause_no_second_run() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    for round in 0..10 {
        let key = timed_key(&format!("lost-{round}"));
        fleet.store.set_faults(StoreFaults { lose_answers: 2, ..StoreFaults::default() });
        let first = fleet.send_at_most_once(round % 2, "/order?bytes=64", &key).await;
        assert_eq!(first.status(), 200, "round {round}");
        let again = fleet.send_at_most_once((round + 1) % 2, "/order?bytes=64", &key).await;
        assert!(is_replay(&again), "round {round}");
        assert_eq!(run_count(&fleet, &key), 1, "round {round}");
    }
    assert!(fleet.store.counters().lost_answers >= 10);
}

#[tokio::test]
async fn at_most_once_requests_are_refused_as_not_run_during_store_outage() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let key = timed_key("outage");
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    for gateway in [0, 1] {
        let res = fleet.send_at_most_once(gateway, "/order", &key).await;
        expect_problem(res, 503, "claim-unavailable", "not_run").await;
    }
    let read = fleet.request(Method::GET, 0, "/x?bytes=10").send().await.unwrap();
    assert_eq!(read.status(), 200);
    assert_eq!(run_count(&fleet, &key), 0);
    fleet.store.set_faults(StoreFaults::default());
    assert_eq!(fleet.send_at_most_once(1, "/order", &key).await.status(), 200);
    assert_eq!(run_count(&fleet, &key), 1);
}

#[tokio::test]
async fn slow_store_causes_no_second_run() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    for (delay_ms, expected) in [(50, 200), (200, 200), (1_500, 503)] {
        fleet.store.set_faults(StoreFaults { delay_ms, ..StoreFaults::default() });
        let key = timed_key(&format!("slow-{delay_ms}"));
        let first = fleet.send_at_most_once(0, "/order", &key).await.status().as_u16();
        assert_eq!(first, expected, "{delay_ms} ms");
        fleet.store.set_faults(StoreFaults::default());
        assert_eq!(fleet.send_at_most_once(1, "/order", &key).await.status(), 200, "{delay_ms} ms");
        assert_eq!(run_count(&fleet, &key), 1, "{delay_ms} ms");
    }
}

#[tokio::test]
async fn outcome_stays_unknown_when_the_backend_response_is_lost() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let key = timed_key("lost");
    lose_next_response(&fleet);
    expect_problem(
        fleet.send_at_most_once(0, "/order", &key).await,
        502,
        "connection-lost",
        "unknown",
    )
    .await;
    for gateway in [1, 0] {
        let again = fleet.send_at_most_once(gateway, "/order", &key).await;
        expect_problem(again, 502, "outcome-unknown", "unknown").await;
    }
    assert_eq!(run_count(&fleet, &key), 1);
}

#[tokio::test]
async fn outcome_stays_unknown_after_the_deadline() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    for round in 0..5 {
        let key = timed_key(&format!("late-{round}"));
        let path = "/order?work_ms=3000";
        let req = fleet.request(Method::POST, 0, path).header("idempotency-key", &key);
        let first = req.header("x-deadline-ms", "1000").body("order").send().await.unwrap();
        assert_eq!(first.status(), 504, "round {round}");
        assert_eq!(first.headers()["x-execution"], "unknown", "round {round}");
        let again = fleet.send_at_most_once(1, path, &key).await;
        expect_problem(again, 502, "outcome-unknown", "unknown").await;
        assert_eq!(run_count(&fleet, &key), 1, "round {round}");
    }
}

/// Responds to the first request of each connection with `x-execution: unknown`, and counts these
/// requests.
async fn respond_with_unknown_execution(listener: TcpListener, received: Arc<AtomicU32>) {
    const RESPONSE: &[u8] =
        b"HTTP/1.1 504 Late\r\nx-execution: unknown\r\ncontent-length: 0\r\n\r\n";
    loop {
        let (mut connection, _) = listener.accept().await.unwrap();
        let received = Arc::clone(&received);
        // Gateways also keep a liveness connection, on which they send no request.
        tokio::spawn(async move {
            let mut buf = [0; 4096];
            if connection.read(&mut buf).await.unwrap_or(0) > 0 {
                received.fetch_add(1, Ordering::Relaxed);
                let _ = connection.write_all(RESPONSE).await;
            }
        });
    }
}

#[tokio::test]
async fn outcome_stays_unknown_when_the_backend_response_reports_unknown() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut questionnaire = questionnaire(&fleet.backends);
    questionnaire["services"][0]["targets"][0]["address"] =
        Value::String(listener.local_addr().unwrap().to_string());
    let received = Arc::new(AtomicU32::new(0));
    tokio::spawn(respond_with_unknown_execution(listener, Arc::clone(&received)));
    put_configuration(fleet.store.address(), &questionnaire, 2).await;
    for gateway in 0..2 {
        wait_for("generation in force", async || {
            fleet.dump(gateway).await["configuration"]["generation"] == 2
        })
        .await;
    }
    let key = timed_key("says-unknown");
    let first = fleet.send_at_most_once(0, "/order", &key).await;
    assert_eq!(first.headers()["x-execution"], "unknown");
    let again = fleet.send_at_most_once(1, "/order", &key).await;
    expect_problem(again, 502, "outcome-unknown", "unknown").await;
    assert_eq!(received.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn request_completes_when_caller_disconnects_and_gateway_shuts_down() {
    let mut fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let key = timed_key("gone");
    let mut caller = TcpStream::connect(fleet.gateways[0].callers).unwrap();
    write!(
        caller,
        "POST /order?bytes=64&work_ms=600 HTTP/1.1\r\nhost: a\r\nidempotency-key: {key}\r\n\
         content-length: 5\r\n\r\norder"
    )
    .unwrap();
    wait_for("request runs", async || run_count(&fleet, &key) == 1).await;
    socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
    drop(caller);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.gateways[0].signal(libc::SIGTERM);
    assert_eq!(fleet.gateways[0].exit_code().await, Some(0));
    let again = fleet.send_at_most_once(1, "/order?bytes=64&work_ms=600", &key).await;
    assert!(is_replay(&again), "{}", again.status());
    assert_eq!(fleet.backends[0].counters().cancelled_running, 0);
    assert_eq!(run_count(&fleet, &key), 1);
}

#[tokio::test]
async fn outcome_stays_unknown_after_connection_goes_silent_and_next_request_succeeds() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let faults = ResponseFaults { count: 1, silent: true, ..ResponseFaults::default() };
    let control = BackendControl { answer_faults: Some(faults), ..BackendControl::default() };
    fleet.backends[0].control(&control);
    let key = timed_key("silent");
    let req = fleet.request(Method::POST, 0, "/order").header("idempotency-key", &key);
    let first = req.header("x-deadline-ms", "1000").body("order").send().await.unwrap();
    expect_problem(first, 504, "answer-timeout", "unknown").await;
    let again = fleet.send_at_most_once(1, "/order", &key).await;
    expect_problem(again, 502, "outcome-unknown", "unknown").await;
    assert!(run_count(&fleet, &key) <= 1);
    assert_eq!(fleet.send_at_most_once(0, "/order", &timed_key("next")).await.status(), 200);
}

#[tokio::test]
async fn gateway_killed_during_store_outage_causes_no_second_run() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let key = timed_key("two-at-once");
    let slow_request = start_slow_request(&fleet, &key).await;
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    fleet.gateways[0].signal(libc::SIGKILL);
    slow_request.await.unwrap();
    let during = fleet.send_at_most_once(1, "/order?work_ms=900", &key).await;
    expect_problem(during, 503, "claim-unavailable", "not_run").await;
    fleet.store.set_faults(StoreFaults { lose_answers: 3, ..StoreFaults::default() });
    tokio::time::sleep(UNKNOWN_GRACE).await;
    let after = fleet.send_at_most_once(1, "/order?work_ms=900", &key).await;
    expect_problem(after, 502, "outcome-unknown", "unknown").await;
    assert_eq!(run_count(&fleet, &key), 1);
}

/// Starts a slow at-most-once request through gateway 0 and waits until it runs.
async fn start_slow_request(fleet: &Fleet, key: &str) -> tokio::task::JoinHandle<()> {
    let sending = fleet
        .request(Method::POST, 0, "/order?work_ms=900")
        .header("idempotency-key", key)
        .header("x-deadline-ms", "1500")
        .body("order")
        .send();
    let task = tokio::spawn(async move { drop(sending.await) });
    wait_for("request runs", async || run_count(fleet, key) == 1).await;
    task
}

#[tokio::test]
async fn outcome_stays_unknown_when_the_gateway_is_killed() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let key = timed_key("killed");
    let slow_request = start_slow_request(&fleet, &key).await;
    fleet.gateways[0].signal(libc::SIGKILL);
    slow_request.await.unwrap();
    let path = "/order?work_ms=900";
    let early = fleet.send_at_most_once(1, path, &key).await;
    assert_eq!(early.headers()["x-execution"], "unknown", "{}", early.status());
    tokio::time::sleep(UNKNOWN_GRACE).await;
    let late = fleet.send_at_most_once(1, path, &key).await;
    expect_problem(late, 502, "outcome-unknown", "unknown").await;
    assert_eq!(run_count(&fleet, &key), 1);
}

#[tokio::test]
async fn request_of_a_gateway_paused_past_its_lease_runs_once() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let key = timed_key("paused");
    let slow_request = start_slow_request(&fleet, &key).await;
    fleet.gateways[0].signal(libc::SIGSTOP);
    tokio::time::sleep(UNKNOWN_GRACE + Duration::from_secs(2)).await;
    let path = "/order?work_ms=900";
    let during = fleet.send_at_most_once(1, path, &key).await;
    expect_problem(during, 502, "outcome-unknown", "unknown").await;
    fleet.gateways[0].signal(libc::SIGCONT);
    slow_request.await.unwrap();
    for gateway in [1, 0] {
        let after = fleet.send_at_most_once(gateway, path, &key).await;
        assert!(after.status() == 502 || is_replay(&after), "{}", after.status());
    }
    assert_eq!(run_count(&fleet, &key), 1);
}
