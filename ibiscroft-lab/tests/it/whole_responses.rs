//! Whole answers: a caller sees all bytes of its own answer, or a visible abort.

use ibiscroft_lab::backend::{BackendControl, Pattern, ResponseFaults};
use reqwest::{Method, Response, StatusCode};

use crate::support::{System, wait_until};

/// What a caller can see.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    Aborted,
    Problem,
    Wrong(String),
}

/// Reads an answer to its end and compares each byte.
async fn see(response: reqwest::Result<Response>, pattern: Pattern, id: &str) -> Seen {
    let mut response = match response {
        Ok(response) => response,
        Err(_) => return Seen::Aborted,
    };
    if response.status() != StatusCode::OK {
        return Seen::Problem;
    }
    if response.headers().get("x-request-id").is_none_or(|found| found != id) {
        return Seen::Wrong("another request's id".to_string());
    }
    let mut at = 0;
    loop {
        match response.chunk().await {
            Ok(Some(piece)) if pattern.matches(at, &piece) => at += piece.len() as u64,
            Ok(Some(_)) => return Seen::Wrong(format!("bytes after {at}")),
            Ok(None) if at == pattern.length() => return Seen::Whole,
            Ok(None) => return Seen::Wrong(format!("{at} bytes that look whole")),
            Err(_) => return Seen::Aborted,
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
    let headless = ResponseFaults { truncate_after: Some(0), ..none() };
    let crossed = ResponseFaults { crossed: true, ..none() };
    let lost = ResponseFaults { lose_answer: true, ..none() };
    let stalled = ResponseFaults { stall_after: Some(100_000), ..none() };
    let delayed = ResponseFaults { first_byte_delay_ms: 300, ..none() };
    vec![
        Case { name: "truncated", faults: truncated.clone(), query: "" },
        Case { name: "truncated without a length", faults: truncated, query: "&chunked=1" },
        Case { name: "no byte of the body", faults: headless.clone(), query: "" },
        Case { name: "no byte, no length", faults: headless, query: "&chunked=1" },
        Case { name: "crossed", faults: crossed, query: "" },
        Case { name: "lost", faults: lost, query: "" },
        Case { name: "stalled", faults: stalled, query: "" },
        Case { name: "late first byte", faults: delayed, query: "" },
    ]
}

/// Runs each case with `count` faulty answers at every backend server.
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
        let seen = see(request.send().await, pattern, &id).await;
        assert!(!matches!(seen, Seen::Wrong(_)), "{}: {seen:?}", case.name);
        if case.name == "late first byte" {
            assert_eq!(seen, Seen::Whole, "{}", case.name);
        }
    }
}

#[tokio::test]
async fn one_faulty_answer_never_looks_whole() {
    check("whole-one", 1).await;
}

#[tokio::test]
async fn faulty_answers_of_every_server_never_look_whole() {
    check("whole-all", 100).await;
}

#[tokio::test]
async fn a_target_killed_in_the_middle_of_an_artwork_pack_is_no_short_answer() {
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
    let seen = see(Ok(response), Pattern::new("/artwork", BYTES), "pack").await;
    assert!(matches!(seen, Seen::Whole | Seen::Aborted), "{seen:?}");
}

#[tokio::test]
async fn connections_gone_silent_give_no_wrong_answer() {
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
        let seen = see(request.send().await, pattern, &id).await;
        assert!(matches!(seen, Seen::Whole | Seen::Problem), "round {round}: {seen:?}");
        if round < 2 {
            assert_eq!(seen, Seen::Whole, "round {round}");
        }
    }
}

#[tokio::test]
async fn a_caller_that_leaves_frees_the_slot() {
    let system = System::start("caller-leaves", 1, 1).await;
    let request = system.request(0, Method::GET, "/slow?work_ms=15000").send();
    let call = tokio::spawn(request);
    wait_until("request runs", async || system.backends[0].counters().await.running == 1).await;
    call.abort();
    wait_until("slot is free", async || system.backends[0].counters().await.running == 0).await;
    assert_eq!(system.backends[0].counters().await.cancelled_running, 1);
}
