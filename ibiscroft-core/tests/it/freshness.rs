//! Tests of `freshness`.

use ibiscroft_core::Tick;
use ibiscroft_core::freshness::{
    Freshness, FreshnessStatus, ISOLATION_TIMEOUT, MIN_PEER_RUNNING_TIME,
    PEER_CONFIRMATION_VALIDITY, STORE_CONFIRMATION_VALIDITY,
};

const TICK_INTERVAL_MS: u64 = 100;

/// Ticks from `from_ms` to `to_ms` at an interval that does not count as a pause.
fn tick_without_pause(freshness: &mut Freshness, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..=to_ms).step_by(usize::try_from(TICK_INTERVAL_MS).unwrap()) {
        freshness.on_tick(Tick::from_millis(ms));
    }
}

#[test]
fn confirmation_validity_starts_when_the_request_was_sent() {
    let mut freshness = Freshness::new(Tick::ZERO);
    let at = Tick::from_millis;
    assert_eq!(freshness.status(at(1)), FreshnessStatus::Unconfirmed);
    freshness.on_store_confirmation(at(100), at(1_000));
    assert_eq!(freshness.deadline(), at(100) + STORE_CONFIRMATION_VALIDITY);
    freshness.on_peer_confirmation(at(900), at(1_000), MIN_PEER_RUNNING_TIME);
    assert_eq!(
        freshness.deadline(),
        at(100) + STORE_CONFIRMATION_VALIDITY,
        "the later deadline stays"
    );
    freshness.on_peer_confirmation(at(1_500), at(1_600), MIN_PEER_RUNNING_TIME);
    assert_eq!(freshness.deadline(), at(1_500) + PEER_CONFIRMATION_VALIDITY);
    freshness.on_peer_confirmation(at(5_000), at(5_001), MIN_PEER_RUNNING_TIME / 2);
    assert_eq!(
        freshness.deadline(),
        at(1_500) + PEER_CONFIRMATION_VALIDITY,
        "the response of a peer that was paused recently is ignored"
    );
}

#[test]
fn state_is_unconfirmed_after_a_pause_until_a_new_confirmation() {
    let mut freshness = Freshness::new(Tick::ZERO);
    let at = Tick::from_millis;
    freshness.on_store_confirmation(at(0), at(100));
    assert_eq!(freshness.status(at(1_000)), FreshnessStatus::Confirmed);
    assert!(freshness.on_tick(at(10_000)), "the pause is detected");
    freshness.on_store_confirmation(at(100), at(10_000));
    assert_eq!(
        freshness.status(at(10_000)),
        FreshnessStatus::Unconfirmed,
        "the request was sent before the pause"
    );
    tick_without_pause(&mut freshness, 10_000, 11_000);
    assert_eq!(freshness.status(at(11_000)), FreshnessStatus::Unconfirmed);
    freshness.on_store_confirmation(at(11_000), at(11_010));
    assert_eq!(freshness.status(at(11_010)), FreshnessStatus::Confirmed);
}

#[test]
fn isolated_gateway_is_never_unconfirmed_while_it_ticks() {
    let mut freshness = Freshness::new(Tick::ZERO);
    freshness.on_store_confirmation(Tick::ZERO, Tick::from_millis(900));
    for ms in (900..20_000).step_by(100) {
        let now = Tick::from_millis(ms);
        assert_ne!(freshness.status(now), FreshnessStatus::Unconfirmed, "at {now}");
        freshness.on_tick(now);
    }
    let now = Tick::from_millis(19_900);
    assert_eq!(freshness.status(now), FreshnessStatus::Isolated);
    assert!(freshness.running_for(now) > ISOLATION_TIMEOUT);
}

#[test]
fn isolated_gateway_is_unconfirmed_after_a_pause() {
    let mut freshness = Freshness::new(Tick::ZERO);
    tick_without_pause(&mut freshness, 0, 5_000);
    assert_eq!(freshness.status(Tick::from_millis(5_000)), FreshnessStatus::Isolated);
    freshness.on_tick(Tick::from_millis(9_000));
    assert_eq!(freshness.status(Tick::from_millis(9_000)), FreshnessStatus::Unconfirmed);
}
