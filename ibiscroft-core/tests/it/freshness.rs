//! Tests of `freshness`.

use ibiscroft_core::Tick;
use ibiscroft_core::freshness::{
    Freshness, FreshnessStatus, ISOLATED_AFTER, PEER_PROOF, SETTLED_AFTER, STORE_PROOF,
};

const STEP_MS: u64 = 100;

/// Lets time pass without a pause.
fn run(freshness: &mut Freshness, from: u64, to: u64) {
    for ms in (from..=to).step_by(usize::try_from(STEP_MS).unwrap()) {
        freshness.on_tick(Tick::from_millis(ms));
    }
}

#[test]
fn a_proof_counts_from_the_call_that_asked_for_it() {
    let mut freshness = Freshness::new(Tick::ZERO);
    let at = Tick::from_millis;
    assert_eq!(freshness.status(at(1)), FreshnessStatus::Unconfirmed);
    freshness.on_store_proof(at(100), at(1_000));
    assert_eq!(freshness.deadline(), at(100) + STORE_PROOF);
    freshness.on_peer_proof(at(900), at(1_000), SETTLED_AFTER);
    assert_eq!(freshness.deadline(), at(100) + STORE_PROOF, "the later deadline counts");
    freshness.on_peer_proof(at(1_500), at(1_600), SETTLED_AFTER);
    assert_eq!(freshness.deadline(), at(1_500) + PEER_PROOF);
    freshness.on_peer_proof(at(5_000), at(5_001), SETTLED_AFTER / 2);
    assert_eq!(freshness.deadline(), at(1_500) + PEER_PROOF, "the peer was paused itself");
}

#[test]
fn a_pause_ends_the_trust_until_a_new_proof() {
    let mut freshness = Freshness::new(Tick::ZERO);
    let at = Tick::from_millis;
    freshness.on_store_proof(at(0), at(100));
    assert_eq!(freshness.status(at(1_000)), FreshnessStatus::Confirmed);
    assert!(freshness.on_tick(at(10_000)), "a pause is noticed");
    freshness.on_store_proof(at(100), at(10_000));
    assert_eq!(freshness.status(at(10_000)), FreshnessStatus::Unconfirmed, "an answer from before");
    run(&mut freshness, 10_000, 11_000);
    assert_eq!(freshness.status(at(11_000)), FreshnessStatus::Unconfirmed);
    freshness.on_store_proof(at(11_000), at(11_010));
    assert_eq!(freshness.status(at(11_010)), FreshnessStatus::Confirmed);
}

#[test]
fn an_isolated_gateway_goes_on_without_a_gap() {
    let mut freshness = Freshness::new(Tick::ZERO);
    freshness.on_store_proof(Tick::ZERO, Tick::from_millis(900));
    for ms in (900..20_000).step_by(100) {
        let now = Tick::from_millis(ms);
        assert_ne!(freshness.status(now), FreshnessStatus::Unconfirmed, "at {now}");
        freshness.on_tick(now);
    }
    let now = Tick::from_millis(19_900);
    assert_eq!(freshness.status(now), FreshnessStatus::Isolated);
    assert!(freshness.awake_for(now) > ISOLATED_AFTER);
}

#[test]
fn an_isolated_gateway_that_was_paused_waits_again() {
    let mut freshness = Freshness::new(Tick::ZERO);
    run(&mut freshness, 0, 5_000);
    assert_eq!(freshness.status(Tick::from_millis(5_000)), FreshnessStatus::Isolated);
    freshness.on_tick(Tick::from_millis(9_000));
    assert_eq!(freshness.status(Tick::from_millis(9_000)), FreshnessStatus::Unconfirmed);
}
