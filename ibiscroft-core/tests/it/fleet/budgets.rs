//! Budgets that all gateways of a fleet share.

use std::time::Duration;

use ibiscroft_core::fleet::{
    ColdTargetLimiter, ColdTargetQuota, FleetSize, FleetSizeDebounce, GatewayCount, ProbeBudget,
    RetryLimits, RetryWindow, StoreBackoff,
};
use ibiscroft_core::ids::{InstanceName, TargetName};
use proptest::prelude::*;

use crate::support::{at, fuzz};

const TERMS: RetryLimits = RetryLimits { ratio: 0.2, floor: 58.0, window: Duration::from_secs(10) };

#[test]
fn a_fleet_stays_within_its_retry_budget() {
    struct Case {
        gateways: u32,
        requests_per_s: u64,
    }
    let cases = [
        Case { gateways: 15, requests_per_s: 0 },
        Case { gateways: 15, requests_per_s: 28 },
        Case { gateways: 120, requests_per_s: 7 },
    ];
    for case in cases {
        let gateways = GatewayCount(case.gateways);
        let mut window = RetryWindow::new(TERMS);
        let mut taken = Vec::new();
        for ms in 0..30_000 {
            if case.requests_per_s > 0 && ms % (1_000 / case.requests_per_s) == 0 {
                window.note_request(at(ms));
            }
            if window.try_retry(at(ms), gateways, 0.0) {
                taken.push(ms);
            }
        }
        let allowed = (case.requests_per_s * 10) as f64 * TERMS.ratio
            + TERMS.floor / f64::from(case.gateways);
        for start in &taken {
            let within = taken.iter().filter(|ms| (*start..start + 10_000).contains(*ms)).count();
            let name = format!("{} gateways, {}/s", case.gateways, case.requests_per_s);
            assert!(within as f64 <= allowed, "{name}: {within} of {allowed} from {start}");
        }
    }
}

/// Targets that shed most requests at random: whatever is allowed is worth sending.
#[test]
fn most_of_the_retry_budget_can_be_spent_when_targets_shed() {
    let mut window = RetryWindow::new(TERMS);
    let gateways = GatewayCount(15);
    let mut sent = 0;
    for ms in 0..10_000 {
        if ms % 20 == 0 {
            window.note_request(at(ms));
        }
        sent += u32::from(window.try_retry(at(ms), gateways, 0.0));
    }
    let allowed = 500.0 * TERMS.ratio + TERMS.floor / 15.0;
    assert!(f64::from(sent) >= 0.9 * allowed, "{sent} of {allowed}");
}

#[test]
fn a_reserve_is_kept_for_more_important_sends() {
    let mut window = RetryWindow::new(TERMS);
    let one = GatewayCount(1);
    let spent = (0..100).filter(|_| window.try_retry(at(0), one, 0.5)).count();
    let rest = (0..100).filter(|_| window.try_retry(at(0), one, 0.0)).count();
    assert_eq!((spent, rest), (26, 27));
}

proptest! {
    #![proptest_config(fuzz(64))]

    /// However the fleet is sized, its parts of a cold target's rate stay under the rate's bound.
    #[test]
    fn parts_of_a_cold_target_stay_under_its_bound(
        gateways in 1u32..300,
        rate in prop_oneof![Just(4.4), Just(20.0)],
        target in "[a-z0-9]{8}",
    ) {
        let target = TargetName::new(target);
        let sum: u32 = (0..gateways)
            .map(|index| InstanceName::new(format!("edge-{index}")))
            .map(|own| ColdTargetQuota::for_gateway(rate, &target, &own, GatewayCount(gateways)).per_second)
            .sum();
        let bound = rate * 1.5 + if rate < 10.0 { 8.0 } else { 5.0 };
        prop_assert!(f64::from(sum) <= bound, "{sum} of {bound}");
    }
}

#[test]
fn a_cold_target_gets_its_share_in_any_second() {
    let mut shares = ColdTargetLimiter::default();
    let target = TargetName::new("t");
    let share = ColdTargetQuota { per_second: 2 };
    let sent: Vec<u64> =
        (0..5_000).filter(|ms| shares.try_acquire(at(*ms), &target, share)).collect();
    for start in &sent {
        let within = sent.iter().filter(|ms| (*start..start + 1_000).contains(*ms)).count();
        assert!(within <= 2, "{within} from {start}: {sent:?}");
    }
    assert!(sent.len() >= 8, "{sent:?}");
    assert!(!shares.allows(at(0), &target, ColdTargetQuota { per_second: 0 }));
}

#[test]
fn necessary_checks_are_earned_before_others() {
    let mut budget = ProbeBudget::default();
    let rate = 10.0;
    let taken = (0..60_000u64)
        .filter(|ms| ms % 10 == 0)
        .filter(|ms| budget.try_take(at(*ms), rate, ms % 200 == 0))
        .count();
    assert!(taken as f64 <= 60.0 * rate + 1.0, "{taken}");
}

#[test]
fn saved_checks_serve_a_burst() {
    let mut budget = ProbeBudget::default();
    assert!(!budget.try_take(at(0), 10.0, false));
    let burst = (0..1_000).filter(|_| budget.try_take(at(60_000), 10.0, false)).count();
    assert_eq!(burst, 200);
}

#[test]
fn saved_checks_are_ample_until_half_of_them_are_spent() {
    let mut budget = ProbeBudget::default();
    assert!(!budget.is_over_half_full(10.0));
    let spent = (0..200).take_while(|_| {
        budget.try_take(at(60_000), 10.0, false);
        budget.is_over_half_full(10.0)
    });
    assert_eq!(spent.count(), 99);
}

#[test]
fn a_smaller_fleet_counts_after_a_while() {
    struct Case {
        at_ms: u64,
        told: Option<u32>,
        counts: u32,
    }
    let cases = [
        Case { at_ms: 0, told: None, counts: 32 },
        Case { at_ms: 1_000, told: Some(120), counts: 120 },
        Case { at_ms: 10_000, told: Some(1), counts: 120 },
        Case { at_ms: 39_000, told: None, counts: 120 },
        Case { at_ms: 40_000, told: None, counts: 1 },
        Case { at_ms: 41_000, told: Some(130), counts: 130 },
    ];
    let mut size = FleetSize::default();
    for case in cases {
        if let Some(told) = case.told {
            size.note(at(case.at_ms), GatewayCount(told));
        }
        assert_eq!(size.get(at(case.at_ms)), GatewayCount(case.counts), "at {} ms", case.at_ms);
    }
}

#[test]
fn a_changed_sum_is_written_once_it_has_held() {
    struct Case {
        name: &'static str,
        known: Option<u32>,
        sum: u32,
        due_after_ms: Option<u64>,
    }
    let cases = [
        Case { name: "nothing written", known: None, sum: 1, due_after_ms: Some(0) },
        Case { name: "the same", known: Some(120), sum: 120, due_after_ms: None },
        Case { name: "about the same", known: Some(120), sum: 115, due_after_ms: None },
        Case { name: "more", known: Some(15), sum: 18, due_after_ms: Some(700) },
        Case { name: "fewer", known: Some(120), sum: 80, due_after_ms: Some(15_000) },
    ];
    for case in cases {
        let mut keeper = FleetSizeDebounce::default();
        let known = case.known.map(GatewayCount);
        let mut due = |ms| keeper.is_due(at(ms), known, GatewayCount(case.sum));
        let first = (0..20_000).find(|ms| due(*ms));
        assert_eq!(first, case.due_after_ms, "{}", case.name);
    }
}

/// Load of an outage of the store: each gateway of a large fleet looks for itself.
#[test]
fn a_fleet_calls_a_store_that_is_away_within_its_rate() {
    struct Case {
        name: &'static str,
        call_takes: Duration,
        outage: Duration,
        most_of_reader: u32,
        most_of_follower: u32,
    }
    let cases = [
        Case {
            name: "refuses at once",
            call_takes: Duration::from_millis(4),
            outage: Duration::from_secs(8),
            most_of_reader: 11,
            most_of_follower: 4,
        },
        Case {
            name: "is silent",
            call_takes: Duration::from_millis(800),
            outage: Duration::from_secs(8),
            most_of_reader: 6,
            most_of_follower: 3,
        },
    ];
    for case in cases {
        let calls = |pause: fn(&StoreBackoff) -> Duration| {
            let (mut state, mut now, mut calls) = (StoreBackoff::default(), Duration::ZERO, 0);
            while now < case.outage {
                calls += 1;
                state.note_failure();
                now += case.call_takes + pause(&state);
            }
            state.note_success();
            assert_eq!(pause(&state), Duration::ZERO, "{}", case.name);
            calls
        };
        let of_reader = calls(StoreBackoff::reader_delay);
        let of_follower = calls(StoreBackoff::follower_delay);
        assert!(of_reader <= case.most_of_reader, "{}: {of_reader}", case.name);
        assert!(of_follower <= case.most_of_follower, "{}: {of_follower}", case.name);
    }
}
