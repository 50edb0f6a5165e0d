//! A request that crashes backend servers, resent through several gateways.

use reqwest::Method;

use crate::support::{Fleet, FleetOptions};

/// Times that the caller sends the request.
const SENDS: usize = 12;
/// Targets that the request may end: two, and one more when an innocent request shared both.
const MOST_CRASHES: u64 = 3;

async fn status(fleet: &Fleet, gateway: usize, path: &str, crashes: bool) -> u16 {
    let mut request = fleet.request(Method::GET, gateway, path);
    if crashes {
        request = request.header("x-crash", "1");
    }
    request.send().await.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_crashing_request_is_refused_at_every_gateway_and_others_are_answered() {
    let fleet = Fleet::start(FleetOptions::new(2, 6)).await;
    let mut refused = [false; 2];
    for send in 0..SENDS {
        let gateway = send % 2;
        let (poison, innocent) = tokio::join!(
            status(&fleet, gateway, "/poison", true),
            status(&fleet, gateway, "/innocent?work_ms=20", false),
        );
        refused[gateway] |= poison == 422;
        assert_ne!(innocent, 422, "an innocent request was refused");
    }
    let crashes: u64 = fleet.backends.iter().map(|backend| backend.counters().crashes).sum();
    assert!((2..=MOST_CRASHES).contains(&crashes), "{crashes} targets ended");
    assert_eq!(refused, [true, true], "each gateway refuses it");
    assert_eq!(status(&fleet, 0, "/innocent", false).await, 200);
}
