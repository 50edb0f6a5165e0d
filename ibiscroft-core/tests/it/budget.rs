//! Tests of `budget`.

use ibiscroft_core::Tick;
use ibiscroft_core::budget::{AttemptFailure, RetryBudget, ServiceRetryBudget, TokenBucket};
use ibiscroft_core::ids::{PerSecond, Permille};
use ibiscroft_core::selection::MAX_MOVES;
use proptest::prelude::*;

use crate::support::{at, fuzz, ms};

#[test]
fn failures_are_retried_only_where_they_arise() {
    struct Case {
        failure: AttemptFailure,
        safe: bool,
        unsafe_: bool,
    }
    let cases = [
        Case { failure: AttemptFailure::Shed, safe: true, unsafe_: true },
        Case { failure: AttemptFailure::NotSent, safe: true, unsafe_: true },
        Case { failure: AttemptFailure::Lost, safe: true, unsafe_: false },
        Case { failure: AttemptFailure::Relayed, safe: false, unsafe_: false },
        Case { failure: AttemptFailure::TimedOut, safe: false, unsafe_: false },
    ];
    for case in cases {
        assert_eq!(case.failure.is_retryable(true), case.safe, "{:?}", case.failure);
        assert_eq!(case.failure.is_retryable(false), case.unsafe_, "{:?}", case.failure);
    }
}

#[test]
fn an_empty_bucket_fills_at_its_rate() {
    let bucket = TokenBucket::empty(PerSecond(10), 2, at(1_000));
    assert!(!bucket.try_take(at(1_099)));
    assert_eq!(bucket.wait(at(1_050)), Some(ms(50)));
    assert!(bucket.try_take(at(1_100)));
    assert!(!bucket.try_take(at(1_150)));
    assert!(bucket.try_take(at(1_200)));
}

#[test]
fn a_rate_of_zero_allows_nothing() {
    let bucket = TokenBucket::new(PerSecond(0), 5);
    assert!(!bucket.try_take(at(1_000_000)));
    assert_eq!(bucket.wait(at(0)), None);
}

#[test]
fn resends_stop_at_high_load() {
    let budget = RetryBudget::new(Permille(100));
    assert!(!budget.try_resend(at(0), Permille(750)));
    assert!(budget.try_resend(at(0), Permille(749)));
}

#[test]
fn calls_of_long_ago_allow_no_burst_of_retries() {
    let budget = RetryBudget::new(Permille(100));
    (0..100_000).for_each(|_| budget.record_call());
    let retries = (0..1_000).filter(|_| budget.try_retry(at(0))).count();
    assert_eq!(retries as u64, RetryBudget::BURST);
}

/// Sends one call down a chain of `layers` whose last one always refuses; returns the tries
/// that reached the refusing targets.
fn call_chain(layers: &[ServiceRetryBudget], now: Tick) -> u64 {
    let Some((budget, deeper)) = layers.split_first() else {
        return 1;
    };
    let failure = if deeper.is_empty() { AttemptFailure::Shed } else { AttemptFailure::Relayed };
    budget.record_call();
    let mut tries = call_chain(deeper, now);
    for _ in 0..MAX_MOVES {
        if !budget.try_retry(failure, true, now) {
            break;
        }
        tries += call_chain(deeper, now);
    }
    tries
}

#[test]
fn seven_layers_do_not_multiply_retries() {
    for failing_layers in 1..=7 {
        let layers: Vec<ServiceRetryBudget> =
            (0..failing_layers).map(|_| ServiceRetryBudget::new(Permille(100))).collect();
        let calls = 1_000;
        let tries: u64 = (0..calls).map(|index| call_chain(&layers, at(index))).sum();
        let allowed = 2 * calls + RetryBudget::BURST + 1;
        assert!(tries <= allowed, "{failing_layers} layers: {tries} tries for {calls} calls");
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Call,
    Retry,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Call),
        4 => Just(Step::Retry),
        1 => (1_u64..3_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..400)
}

proptest! {
    #![proptest_config(fuzz(200))]

    #[test]
    fn a_bucket_never_exceeds_its_rate_in_any_span(
        rate in 1_u32..2_000,
        burst in 1_u32..20,
        gaps in prop::collection::vec(0_u64..400_000, 1..300),
    ) {
        let bucket = TokenBucket::new(PerSecond(rate), burst);
        let mut now = Tick::ZERO;
        let mut taken = Vec::new();
        for gap in gaps {
            now = now + std::time::Duration::from_micros(gap);
            while bucket.try_take(now) {
                taken.push(now);
            }
        }
        for (from, first) in taken.iter().enumerate() {
            for (until, last) in taken.iter().enumerate().skip(from) {
                let count = (until - from + 1) as f64;
                let span = last.since(*first).as_secs_f64();
                prop_assert!(count <= f64::from(burst) + f64::from(rate) * span + 1e-6);
            }
        }
    }

    #[test]
    fn retries_never_exceed_their_share_in_any_span(share in 0_u32..1_200, steps in steps()) {
        let budget = RetryBudget::new(Permille(share));
        let mut now = Tick::ZERO;
        let mut history = Vec::new();
        for step in steps {
            match step {
                Step::Call => budget.record_call(),
                Step::Retry if !budget.try_retry(now) => continue,
                Step::Retry => {}
                Step::Wait(millis) => now = now + ms(millis),
            }
            history.push((now, step));
        }
        for from in 0..history.len() {
            let (mut calls, mut retries) = (0_u64, 0_u64);
            for (at, step) in &history[from..] {
                match step {
                    Step::Call => calls += 1,
                    Step::Retry => retries += 1,
                    Step::Wait(_) => {}
                }
                let span = at.since(history[from].0).as_secs_f64();
                let floor = f64::from(RetryBudget::FLOOR.get()) * span;
                let allowed = calls as f64 * f64::from(share) / 1_000.0
                    + RetryBudget::BURST as f64
                    + floor;
                prop_assert!(retries as f64 <= allowed + 1e-6, "{retries} of {calls} calls");
            }
        }
    }
}

#[test]
fn threads_do_not_take_more_than_the_bucket_holds() {
    let bucket = TokenBucket::new(PerSecond(1), 100);
    let take = || (0..1_000).filter(|_| bucket.try_take(at(0))).count();
    let taken: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(take)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    });
    assert_eq!(taken, 100);
}
