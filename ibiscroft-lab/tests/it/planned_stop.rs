//! A planned stop of a gateway lets its requests finish.

use ibiscroft_lab::backend::Pattern;
use ibiscroft_lab::load::timed_key;
use reqwest::{Method, StatusCode};

use crate::support::{System, wait_until};

#[tokio::test]
async fn gateway_that_gets_sigterm_twice_finishes_its_requests() {
    const BYTES: u64 = 6_400_000;
    let mut system = System::start("stop", 1, 1).await;
    let before = system.backends[0].counters().await;
    let path = format!("/pack?bytes={BYTES}&block_delay_ms=10");
    let mut download = system.request(0, Method::GET, &path).send().await.unwrap();
    let key = timed_key("stop");
    let request = system.request(0, Method::POST, "/stamp?work_ms=1500");
    let at_most_once = tokio::spawn(request.header("idempotency-key", &key).send());
    let slow = tokio::spawn(system.request(0, Method::GET, "/slow?work_ms=1500").send());
    wait_until("all requests running", async || system.backends[0].counters().await.running == 3)
        .await;
    let gateway = &mut system.gateways[0];
    gateway.process.terminate().await.unwrap();
    gateway.process.terminate().await.unwrap();

    let pattern = Pattern::new("/pack", BYTES);
    let mut at = 0;
    while let Some(chunk) = download.chunk().await.unwrap() {
        assert!(pattern.matches(at, &chunk), "wrong bytes at offset {at}");
        at += chunk.len() as u64;
    }
    assert_eq!(at, BYTES);
    for call in [at_most_once, slow] {
        assert_eq!(call.await.unwrap().unwrap().status(), StatusCode::OK);
    }
    assert_eq!(gateway.process.wait().await.unwrap().code(), Some(0));
    assert_eq!(system.execution_log().executions_of_key(&key), 1);
    let counters = system.backends[0].counters().await;
    assert_eq!((counters.ran - before.ran, counters.finished - before.finished), (3, 3));
}
