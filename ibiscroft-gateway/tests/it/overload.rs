//! Overload of a backend server behind a gateway process, checked by the backend server's counters.

use http::StatusCode;
use ibiscroft_lab::backend::BackendOptions;
use reqwest::Method;
use serde_json::json;

use crate::support::{Fleet, FleetOptions, wait_for};

/// Concurrent requests.
const REQUESTS: usize = 120;

#[tokio::test]
async fn excess_requests_are_refused_as_not_run_and_release_their_slots() {
    let mut options = FleetOptions::new(1, 1);
    options.backends = vec![BackendOptions { slots: 2, queue: 1, ..BackendOptions::default() }];
    options.questionnaire = |questionnaire| {
        questionnaire["services"][0]["targets"][0]["slots"] = json!(2);
        questionnaire["services"][0]["callers_wait_ms"] = json!(2_000);
    };
    let fleet = Fleet::start(options).await;
    wait_for("target warm", async || {
        fleet.request(Method::GET, 0, "/warm").send().await.unwrap();
        fleet.dump(0).await["targets"][0]["state"] == "warm"
    })
    .await;
    let before = fleet.backends[0].counters();
    let calls = (0..REQUESTS).map(|_| fleet.request(Method::GET, 0, "/x?work_ms=50").send());
    let mut succeeded = 0;
    let mut refused = 0;
    for res in futures_util::future::join_all(calls).await {
        let res = res.unwrap();
        if res.status() == StatusCode::OK {
            succeeded += 1;
            continue;
        }
        refused += 1;
        assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(res.headers()["x-execution"], "not_run");
        assert!(res.headers().contains_key("retry-after"));
    }
    assert!(succeeded >= 4, "{succeeded} succeeded");
    assert!(refused >= REQUESTS / 2, "{refused} refused");
    let counters = fleet.backends[0].counters();
    let (ran, shed) = (counters.ran - before.ran, counters.shed - before.shed);
    assert_eq!(ran, succeeded, "refused requests must not run");
    assert!(shed <= 40, "the backend server shed {shed} requests");
    let dump = fleet.dump(0).await;
    assert_eq!(dump["services"][0]["running"], 0, "every slot is released");
    assert_eq!(dump["services"][0]["waiting"], 0);
}
