//! Requests through gateway processes from the caller to the backend servers, checked by the
//! responses and the backend servers' counters.

use http::StatusCode;
use reqwest::Method;
use serde_json::Value;

use crate::support::{Fleet, FleetOptions, put_configuration, questionnaire, timed_key, wait_for};

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: usize,
    status: u16,
    problem: Option<&'static str>,
}

const SERVED: Case = Case {
    name: "served",
    method: Method::GET,
    path: "/x?bytes=100",
    headers: &[],
    body: 0,
    status: 200,
    problem: None,
};

const CASES: &[Case] = &[
    SERVED,
    Case { name: "head", method: Method::HEAD, ..SERVED },
    Case { name: "put with a body", method: Method::PUT, body: 10, ..SERVED },
    Case { name: "depth six", headers: &[("x-call-depth", "6")], ..SERVED },
    Case {
        name: "depth seven",
        headers: &[("x-call-depth", "7")],
        status: 508,
        problem: Some("depth-exceeded"),
        ..SERVED
    },
    Case {
        name: "depth not a number",
        headers: &[("x-call-depth", "deep")],
        status: 400,
        problem: Some("bad-request"),
        ..SERVED
    },
    Case {
        name: "deadline already passed",
        headers: &[("x-deadline-ms", "0")],
        status: 504,
        problem: Some("deadline-passed"),
        ..SERVED
    },
    Case {
        name: "response after the deadline",
        path: "/x?work_ms=3000",
        headers: &[("x-deadline-ms", "100")],
        status: 504,
        problem: Some("answer-timeout"),
        ..SERVED
    },
    Case {
        name: "at-most-once request without key",
        method: Method::POST,
        status: 400,
        problem: Some("idempotency-key-missing"),
        ..SERVED
    },
    Case {
        name: "method not forwarded",
        method: Method::TRACE,
        status: 405,
        problem: Some("method-not-forwarded"),
        ..SERVED
    },
    Case {
        name: "body too large",
        method: Method::PUT,
        body: (1 << 20) + 1,
        status: 413,
        problem: Some("body-too-large"),
        ..SERVED
    },
];

#[tokio::test]
async fn each_request_gets_the_expected_status_and_problem() {
    let fleet = Fleet::start(FleetOptions::new(2, 3)).await;
    for (index, case) in CASES.iter().enumerate() {
        let mut req = fleet.request(case.method.clone(), index % 2, case.path);
        for (name, value) in case.headers {
            req = req.header(*name, *value);
        }
        let res = req.body(vec![0; case.body]).send().await.unwrap();
        assert_eq!(res.status().as_u16(), case.status, "{}", case.name);
        let Some(problem) = case.problem else {
            continue;
        };
        let body: Value = res.json().await.unwrap();
        assert_eq!(body["type"], format!("urn:ibiscroft:problem:{problem}"), "{}", case.name);
        let expected = if problem == "answer-timeout" { "unknown" } else { "not_run" };
        assert_eq!(body["execution"], expected, "{}", case.name);
    }
}

#[tokio::test]
async fn oversized_header_is_refused_before_any_target() {
    let fleet = Fleet::start(FleetOptions::new(1, 1)).await;
    let req = fleet.request(Method::GET, 0, "/x").header("x-large", "y".repeat(40 << 10));
    let res = req.send().await.unwrap();
    assert_eq!(res.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert_eq!(fleet.backends[0].counters().received, 0);
}

#[tokio::test]
async fn stopped_target_fails_no_request() {
    let mut fleet = Fleet::start(FleetOptions::new(1, 3)).await;
    fleet.backends.remove(0).stop().await;
    for number in 0..50 {
        let res = fleet.request(Method::GET, 0, "/x?bytes=10").send().await.unwrap();
        assert_eq!(res.status(), StatusCode::OK, "request {number}");
    }
}

#[tokio::test]
async fn graceful_shutdown_completes_requests_in_flight() {
    const BYTES: usize = 8 << 20;
    let mut fleet = Fleet::start(FleetOptions::new(1, 1)).await;
    let slow = fleet.request(Method::GET, 0, "/x?work_ms=400").send();
    let mut download =
        fleet.request(Method::GET, 0, &format!("/y?bytes={BYTES}")).send().await.unwrap();
    let first = download.chunk().await.unwrap().unwrap();
    let slow = tokio::spawn(slow);
    wait_for("slow request runs", async || fleet.backends[0].counters().running > 0).await;
    fleet.gateways[0].signal(libc::SIGTERM);
    fleet.gateways[0].signal(libc::SIGTERM);
    let mut received = first.len();
    while let Some(chunk) = download.chunk().await.unwrap() {
        received += chunk.len();
    }
    assert_eq!(received, BYTES);
    assert_eq!(slow.await.unwrap().unwrap().status(), StatusCode::OK);
    assert_eq!(fleet.gateways[0].exit_code().await, Some(0));
}

#[tokio::test]
async fn newer_configuration_comes_into_force_and_older_one_is_ignored() {
    let fleet = Fleet::start(FleetOptions::new(2, 1)).await;
    let res = fleet.send_at_most_once(0, "/order", &timed_key("first")).await;
    assert_eq!(res.status(), StatusCode::OK);
    for (written, in_force) in [(5, 5), (3, 5), (6, 6)] {
        put_configuration(fleet.store.address(), &questionnaire(&fleet.backends), written).await;
        for gateway in 0..fleet.gateways.len() {
            wait_for("generation in force", async || {
                fleet.dump(gateway).await["configuration"]["generation"] == in_force
            })
            .await;
        }
    }
}
