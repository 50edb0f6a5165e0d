//! A caller receives the complete response to its own request, or notices that it was aborted.

use ibiscroft_lab::backend::{BackendControl, Pattern, ResponseFaults};
use reqwest::{Method, Response, StatusCode};

use crate::support::{System, wait_until};

/// Result of a call, as its caller sees it.
#[derive(Debug, PartialEq, Eq)]
enum CallResult {
    Complete,
    Aborted,
    ErrorStatus,
    Wrong(String),
}

/// Reads a response to its end and compares each byte with the pattern.
async fn read_response(
    response: reqwest::Result<Response>,
    pattern: Pattern,
    id: &str,
) -> CallResult {
    let mut response = match response {
        Ok(response) => response,
        Err(_) => return CallResult::Aborted,
    };
    if response.status() != StatusCode::OK {
        return CallResult::ErrorStatus;
    }
    if response.headers().get("x-request-id").is_none_or(|value| value != id) {
        return CallResult::Wrong("id of another request".to_string());
    }
    let mut at = 0;
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if pattern.matches(at, &chunk) => at += chunk.len() as u64,
            Ok(Some(_)) => return CallResult::Wrong(format!("wrong bytes at offset {at}")),
            Ok(None) if at == pattern.length() => return CallResult::Complete,
            Ok(None) => return CallResult::Wrong(format!("ended after {at} bytes")),
            Err(_) => return CallResult::Aborted,
        }
    }
}

struct Case {
    name: &'static str,
    faults: ResponseFaults,
    query: &'static str,
}

fn cases() -> Vec<Case> {
    let none = ResponseFaults::default;
    let truncated = ResponseFaults { truncate_after: Some(100_000), ..none() };
    let empty = ResponseFaults { truncate_after: Some(0), ..none() };
    let crossed = ResponseFaults { crossed: true, ..none() };
    let lost = ResponseFaults { lose_answer: true, ..none() };
    let stalled = ResponseFaults { stall_after: Some(100_000), ..none() };
    let delayed = ResponseFaults { first_byte_delay_ms: 300, ..none() };
    vec![
        Case { name: "truncated", faults: truncated.clone(), query: "" },
        Case { name: "truncated without a length", faults: truncated, query: "&chunked=1" },
        Case { name: "no body bytes", faults: empty.clone(), query: "" },
        Case { name: "no body bytes, without a length", faults: empty, query: "&chunked=1" },
        Case { name: "crossed", faults: crossed, query: "" },
        Case { name: "lost", faults: lost, query: "" },
        Case { name: "stalled", faults: stalled, query: "" },
        Case { name: "late first byte", faults: delayed, query: "" },
    ]
}

/// Runs each case with faults in the next `count` responses of every backend server.
async fn check(name: &str, count: u32) {
    let system = System::start(name, 1, 2).await;
    let pattern = Pattern::new("/pack", 400_000);
    for (index, case) in cases().into_iter().enumerate() {
        let faults = ResponseFaults { count, ..case.faults };
        let control = BackendControl { answer_faults: Some(faults), ..BackendControl::default() };
        for backend in &system.backends {
            backend.admin.control(&control).await.unwrap();
        }
        let id = format!("{name}-{index}");
        let path = format!("/pack?bytes=400000{}", case.query);
        let request = system.request(0, Method::GET, &path).header("x-request-id", &id);
        let result = read_response(request.send().await, pattern, &id).await;
        assert!(!matches!(result, CallResult::Wrong(_)), "{}: {result:?}", case.name);
        if case.name == "late first byte" {
            assert_eq!(result, CallResult::Complete, "{}", case.name);
        }
    }
}

#[tokio::test]
async fn one_faulty_response_never_looks_complete() {
    check("whole-one", 1).await;
}

#[tokio::test]
async fn many_faulty_responses_never_look_complete() {
    check("whole-all", 100).await;
}

#[tokio::test]
async fn target_killed_during_download_gives_no_truncated_response() {
    const BYTES: u64 = 50_000_000;
    let mut system = System::start("killed-pack", 1, 2).await;
    let path = format!("/artwork?bytes={BYTES}&block_delay_ms=1");
    let request = system.request(0, Method::GET, &path).header("x-request-id", "pack");
    let response = request.send().await.unwrap();
    let mut victim = None;
    for (index, backend) in system.backends.iter().enumerate() {
        if backend.counters().await.running > 0 {
            victim = Some(index);
        }
    }
    system.backends[victim.unwrap()].process.kill().await.unwrap();
    let result = read_response(Ok(response), Pattern::new("/artwork", BYTES), "pack").await;
    assert!(matches!(result, CallResult::Complete | CallResult::Aborted), "{result:?}");
}

#[tokio::test]
async fn silenced_connections_give_no_wrong_response() {
    let system = System::start("silent", 1, 2).await;
    let pattern = Pattern::new("/pack", 1_000);
    for round in 0..4 {
        if round == 2 {
            for backend in &system.backends {
                let silence =
                    BackendControl { silence_connections: Some(true), ..BackendControl::default() };
                backend.admin.control(&silence).await.unwrap();
            }
        }
        let id = format!("silent-{round}");
        let request = system.request(0, Method::GET, "/pack?bytes=1000");
        let request = request.header("x-request-id", &id).header("x-deadline-ms", "1000");
        let result = read_response(request.send().await, pattern, &id).await;
        assert!(
            matches!(result, CallResult::Complete | CallResult::ErrorStatus),
            "round {round}: {result:?}"
        );
        if round < 2 {
            assert_eq!(result, CallResult::Complete, "round {round}");
        }
    }
}

#[tokio::test]
async fn disconnected_caller_frees_slot() {
    let system = System::start("caller-leaves", 1, 1).await;
    let request = system.request(0, Method::GET, "/slow?work_ms=15000").send();
    let call = tokio::spawn(request);
    wait_until("request running", async || system.backends[0].counters().await.running == 1).await;
    call.abort();
    wait_until("slot free", async || system.backends[0].counters().await.running == 0).await;
    assert_eq!(system.backends[0].counters().await.cancelled_running, 1);
}
