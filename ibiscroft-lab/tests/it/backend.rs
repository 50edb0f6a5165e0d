//! The stand-in backend server over HTTP.

use std::time::Duration;

use ibiscroft_lab::backend::{
    Backend, BackendControl, BackendOptions, Pattern, ResponseFaults, RunningBackend,
};
use reqwest::{Client, RequestBuilder, StatusCode};

fn get(backend: &RunningBackend, path: &str) -> RequestBuilder {
    Client::new().get(format!("http://{}{path}", backend.address()))
}

/// Returns a control request that injects the faults into the next response.
fn inject_once(faults: &ResponseFaults) -> BackendControl {
    let once = ResponseFaults { count: 1, ..faults.clone() };
    BackendControl { answer_faults: Some(once), ..BackendControl::default() }
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn full_slots_and_queue_refuse_request_without_running() {
    let options = BackendOptions { slots: 1, queue: 1, ..BackendOptions::default() };
    let backend = Backend::start(options).await.unwrap();
    let first = tokio::spawn(get(&backend, "/?work_ms=60000").send());
    wait_until(|| backend.counters().running == 1).await;
    let second = tokio::spawn(get(&backend, "/").send());
    wait_until(|| backend.counters().waiting == 1).await;
    let third = get(&backend, "/").header("x-request-id", "r3").send().await.unwrap();
    assert_eq!(third.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(third.headers()["x-execution"], "not_run");
    assert_eq!(third.headers()["x-request-id"], "r3");
    first.abort();
    assert_eq!(second.await.unwrap().unwrap().status(), StatusCode::OK);
    wait_until(|| backend.counters().cancelled_running == 1).await;
    let counters = backend.counters();
    assert_eq!((counters.received, counters.ran, counters.shed), (3, 2, 1));
}

#[tokio::test]
async fn passed_deadline_ends_waiting_and_running_requests() {
    let options = BackendOptions { slots: 1, queue: 1, ..BackendOptions::default() };
    let backend = Backend::start(options).await.unwrap();
    let held = tokio::spawn(get(&backend, "/?work_ms=60000").send());
    wait_until(|| backend.counters().running == 1).await;
    let waited = get(&backend, "/").header("x-deadline-ms", "20").send().await.unwrap();
    assert_eq!(waited.headers()["x-execution"], "not_run");
    held.abort();
    wait_until(|| backend.counters().running == 0).await;
    let ran = get(&backend, "/?work_ms=60000").header("x-deadline-ms", "20").send().await.unwrap();
    assert_eq!(ran.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(ran.headers()["x-execution"], "unknown");
    let counters = backend.counters();
    assert_eq!((counters.expired_waiting, counters.expired_running), (1, 1));
}

#[tokio::test]
async fn key_executed_twice_is_counted_as_duplicate() {
    let backend = Backend::start(BackendOptions::default()).await.unwrap();
    for key in ["a", "b", "a"] {
        get(&backend, "/").header("idempotency-key", key).send().await.unwrap();
    }
    let counters = backend.counters();
    assert_eq!((counters.keys_ran, counters.doubled), (2, 1));
    assert_eq!(counters.doubled_keys, ["a"]);
    assert_eq!(backend.executions_of_key("a"), 2);
}

#[tokio::test]
async fn injected_faults_are_visible_in_response() {
    struct Case {
        name: &'static str,
        faults: ResponseFaults,
        path: &'static str,
        is_complete: bool,
    }
    let truncated = ResponseFaults { truncate_after: Some(70_000), ..ResponseFaults::default() };
    let lost = ResponseFaults { lose_answer: true, ..ResponseFaults::default() };
    let crossed = ResponseFaults { crossed: true, ..ResponseFaults::default() };
    let crashed = ResponseFaults { crash_after: Some(70_000), ..ResponseFaults::default() };
    let cases = [
        Case { name: "none", faults: ResponseFaults::default(), path: "/a", is_complete: true },
        Case { name: "truncated", faults: truncated.clone(), path: "/a", is_complete: false },
        Case {
            name: "truncated chunks",
            faults: truncated,
            path: "/a?chunked=1",
            is_complete: false,
        },
        Case { name: "lost", faults: lost, path: "/a", is_complete: false },
        Case { name: "crossed", faults: crossed, path: "/a", is_complete: false },
        Case { name: "crashed", faults: crashed, path: "/a", is_complete: false },
    ];
    let backend = Backend::start(BackendOptions::default()).await.unwrap();
    for case in cases {
        backend.control(&inject_once(&case.faults));
        let separator = if case.path.contains('?') { '&' } else { '?' };
        let request = get(&backend, &format!("{}{separator}bytes=200000", case.path));
        let is_complete = match request.header("x-request-id", "r").send().await {
            Ok(response) if response.headers()["x-request-id"] == "r" => {
                let body = response.bytes().await;
                let is_truncated = body.as_ref().is_ok_and(|body| body.len() != 200_000);
                assert!(!is_truncated, "{}: truncated body without an error", case.name);
                body.is_ok_and(|body| Pattern::new("/a", 200_000).slice(0, 200_000) == body)
            }
            _ => false,
        };
        assert_eq!(is_complete, case.is_complete, "{}", case.name);
    }
    assert_eq!(backend.counters().crashes, 1);
}

#[tokio::test]
async fn silenced_connections_time_out_while_new_connections_work() {
    let backend = Backend::start(BackendOptions::default()).await.unwrap();
    let client = Client::new();
    let url = format!("http://{}/", backend.address());
    client.get(&url).send().await.unwrap().bytes().await.unwrap();
    backend
        .control(&BackendControl { silence_connections: Some(true), ..BackendControl::default() });
    let silent = client.get(&url).timeout(Duration::from_millis(100)).send().await;
    assert!(silent.is_err_and(|error| error.is_timeout()));
    assert_eq!(get(&backend, "/").send().await.unwrap().status(), StatusCode::OK);
    assert_eq!(backend.counters().received, 2);
}

#[tokio::test]
async fn requests_received_while_draining_are_counted() {
    let backend = Backend::start(BackendOptions::default()).await.unwrap();
    get(&backend, "/").send().await.unwrap();
    backend.control(&BackendControl { draining: Some(true), ..BackendControl::default() });
    let response = get(&backend, "/").send().await.unwrap();
    assert_eq!(response.headers()["x-target-state"], "draining");
    get(&backend, "/load").send().await.unwrap();
    let counters = backend.counters();
    assert_eq!(counters.received_while_draining, 1);
    assert_eq!((counters.received, counters.load_polls), (2, 1));
}
