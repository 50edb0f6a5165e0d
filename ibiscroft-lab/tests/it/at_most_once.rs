//! At-most-once requests whose backend server fails are reported as unknown and never run again.

use ibiscroft_lab::backend::BackendControl;
use ibiscroft_lab::backend::ResponseFaults;
use ibiscroft_lab::load::timed_key;
use reqwest::{Method, RequestBuilder, Response};

use crate::support::{System, wait_until};

const REQUESTS: usize = 6;

/// Builds an at-most-once request.
fn at_most_once_request(system: &System, gateway: usize, key: &str) -> RequestBuilder {
    let request = system.request(gateway, Method::POST, "/stamp?work_ms=2000");
    request.header("idempotency-key", key).body("strap")
}

/// Returns whether the request ran, according to the response.
fn execution(response: &Response) -> Option<&str> {
    response.headers().get("x-execution")?.to_str().ok()
}

#[tokio::test]
async fn requests_on_killed_server_are_unknown_and_not_run_again() {
    let mut system = System::start("kill-mid-order", 2, 3).await;
    let mut pending = Vec::new();
    for number in 0..REQUESTS {
        let key = timed_key(&number.to_string());
        pending.push((tokio::spawn(at_most_once_request(&system, number % 2, &key).send()), key));
    }
    wait_until("all requests running", async || {
        let mut running = 0;
        for backend in &system.backends {
            running += backend.counters().await.running;
        }
        running == REQUESTS
    })
    .await;
    let mut running_by_backend = Vec::new();
    for (index, backend) in system.backends.iter().enumerate() {
        running_by_backend.push((backend.counters().await.running, index));
    }
    let (requests_on_victim, victim) = running_by_backend.into_iter().max().unwrap();
    system.backends[victim].process.kill().await.unwrap();

    let mut unknown = Vec::new();
    for (call, key) in pending {
        let response = call.await.unwrap().unwrap();
        if response.status().is_success() {
            continue;
        }
        assert_eq!(execution(&response), Some("unknown"), "request {key}");
        unknown.push(key);
    }
    assert_eq!(unknown.len(), requests_on_victim);

    for key in unknown {
        for gateway in 0..2 {
            let retry = at_most_once_request(&system, gateway, &key).send().await.unwrap();
            assert!(!retry.status().is_success(), "request {key} through gateway {gateway}");
            assert_eq!(execution(&retry), Some("unknown"), "request {key}");
        }
    }
    let execution_log = system.execution_log();
    assert_eq!(execution_log.key_count(), REQUESTS);
    assert_eq!(execution_log.duplicate_keys(), Vec::<&str>::new());
}

#[tokio::test]
async fn request_with_lost_response_is_unknown_and_runs_once() {
    let system = System::start("lost-answer", 2, 2).await;
    for backend in &system.backends {
        let faults = ResponseFaults { count: 1, lose_answer: true, ..ResponseFaults::default() };
        let control = BackendControl { answer_faults: Some(faults), ..BackendControl::default() };
        backend.admin.control(&control).await.unwrap();
    }
    let key = timed_key("lost");
    let first = at_most_once_request(&system, 0, &key).send().await.unwrap();
    assert_eq!(execution(&first), Some("unknown"));
    let retry = at_most_once_request(&system, 1, &key).send().await.unwrap();
    assert!(!retry.status().is_success());
    assert_eq!(execution(&retry), Some("unknown"));
    assert_eq!(system.execution_log().executions_of_key(&key), 1);
}
