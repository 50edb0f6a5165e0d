//! Responses of backend servers whose status code cannot be that of a final response.

use std::collections::HashSet;
use std::sync::Mutex;

use futures_util::future::join_all;
use reqwest::Method;
use serde_json::Value;

use crate::faulty_target::{Fault, put_before_targets};
use crate::support::{Fleet, FleetOptions, timed_key};

/// Start of the paths whose first request gets the status line that follows, with `-` for spaces.
const FAULTY_PATH: &str = "/faulty/";

/// Number of fleets that run concurrently.
const CONCURRENT_FLEETS: usize = 4;

/// Paths that have been responded to with their status; further requests reach the backend server.
static USED_PATHS: Mutex<Option<HashSet<String>>> = Mutex::new(None);

/// Puts a proxy in front of each backend server, which responds to the first request of each path
/// under [`FAULTY_PATH`] itself.
fn with_faulty_responses(questionnaire: &mut Value) {
    put_before_targets(&mut questionnaire["services"][0], faulty_response);
}

/// Returns the response to a request that gets a faulty one.
fn faulty_response(request: &[u8]) -> Option<Fault> {
    let text = String::from_utf8_lossy(request);
    let path = text.split(' ').nth(1)?;
    let (status, rest) = path.strip_prefix(FAULTY_PATH)?.split_once('/')?;
    let mut used = USED_PATHS.lock().unwrap();
    if !used.get_or_insert_default().insert(path.to_string()) {
        return None;
    }
    let body = if rest.ends_with("body") { "body" } else { "" };
    let status = status.replace('-', " ");
    let start = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    Some(Fault { start, ..Fault::default() })
}

/// Guards against a faulty backend server whose response is forwarded as it is.
#[tokio::test]
async fn response_with_an_invalid_status_counts_as_lost() {
    /// Status of the faulty response, and whether it has a body.
    const CASES: [(&str, bool); 11] = [
        ("000-Zero", true),
        ("000-Zero", false),
        ("099-Below", false),
        ("600-Above", true),
        ("600-Above", false),
        ("999-Highest", true),
        ("100-Continue", true),
        ("103-Early-Hints", true),
        ("199-Interim", true),
        ("101-Switching-Protocols", true),
        ("101-Switching-Protocols", false),
    ];
    let wrong = unexpected_statuses(&CASES, [200, 502]).await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// The HTTP client waits for the final response after an interim one, and does not show it.
#[tokio::test]
async fn interim_response_in_place_of_the_final_one_is_not_forwarded() {
    const CASES: [(&str, bool); 3] =
        [("100-Continue", false), ("103-Early-Hints", false), ("199-Interim", false)];
    let wrong = unexpected_statuses(&CASES, [504, 504]).await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Sends a GET and a POST request for each case, through a fleet of its own, and returns those
/// whose status at the caller is not the one in `expected`.
async fn unexpected_statuses(cases: &[(&str, bool)], expected: [u16; 2]) -> Vec<String> {
    let mut unexpected = Vec::new();
    for chunk in cases.chunks(CONCURRENT_FLEETS) {
        let checks = chunk.iter().map(async |(status, has_body)| {
            let questionnaire = with_faulty_responses;
            let options = FleetOptions { questionnaire, ..FleetOptions::new(1, 3) };
            let fleet = Fleet::start(options).await;
            let mut unexpected = Vec::new();
            for (method, expected) in [Method::GET, Method::POST].into_iter().zip(expected) {
                let actual = status_at_caller(&fleet, method.clone(), status, *has_body).await;
                if actual != Some(expected) {
                    unexpected.push(format!("{method} {status}, body {has_body}: {actual:?}"));
                }
            }
            unexpected
        });
        unexpected.extend(join_all(checks).await.into_iter().flatten());
    }
    unexpected
}

/// Sends one request, to which the first target to receive it responds with `status`; returns the
/// status that the caller receives.
async fn status_at_caller(
    fleet: &Fleet,
    method: Method,
    status: &str,
    has_body: bool,
) -> Option<u16> {
    let kind = if has_body { "body" } else { "empty" };
    let path = format!("{FAULTY_PATH}{status}/{method}-{kind}");
    let mut request = fleet.request(method.clone(), 0, &path).header("x-deadline-ms", "2000");
    if method == Method::POST {
        let key = timed_key(&format!("{status}-{kind}"));
        request = request.header("idempotency-key", key).body("order");
    }
    request.send().await.ok().map(|res| res.status().as_u16())
}
