//! Tests of the retry budgets and the token bucket.

use ibiscroft_core::Tick;
use ibiscroft_core::budget::{AttemptFailure, RetryBudget, ServiceRetryBudget, TokenBucket};
use ibiscroft_core::ids::{PerSecond, Permille};
use ibiscroft_core::selection::MAX_RETRIES;
use proptest::prelude::*;

use crate::support::{at, fuzz, ms};

#[test]
fn is_retryable_depends_on_failure_and_repeatability() {
    struct Case {
        failure: AttemptFailure,
        repeatable: bool,
        at_most_once: bool,
    }
    let cases = [
        Case { failure: AttemptFailure::Shed, repeatable: true, at_most_once: true },
        Case { failure: AttemptFailure::NotSent, repeatable: true, at_most_once: true },
        Case { failure: AttemptFailure::Lost, repeatable: true, at_most_once: false },
        Case { failure: AttemptFailure::Relayed, repeatable: false, at_most_once: false },
        Case { failure: AttemptFailure::TimedOut, repeatable: false, at_most_once: false },
    ];
    for case in cases {
        assert_eq!(case.failure.is_retryable(true), case.repeatable, "{:?}", case.failure);
        assert_eq!(case.failure.is_retryable(false), case.at_most_once, "{:?}", case.failure);
    }
}

#[test]
fn empty_token_bucket_fills_at_its_rate() {
    let bucket = TokenBucket::empty(PerSecond(10), 2, at(1_000));
    assert!(!bucket.try_take(at(1_099)));
    assert_eq!(bucket.time_until_available(at(1_050)), Some(ms(50)));
    assert!(bucket.try_take(at(1_100)));
    assert!(!bucket.try_take(at(1_150)));
    assert!(bucket.try_take(at(1_200)));
}

#[test]
fn token_bucket_with_rate_zero_allows_no_event() {
    let bucket = TokenBucket::new(PerSecond(0), 5);
    assert!(!bucket.try_take(at(1_000_000)));
    assert_eq!(bucket.time_until_available(at(0)), None);
}

#[test]
fn hedging_stops_at_high_load() {
    let budget = RetryBudget::new(Permille(100));
    assert!(!budget.try_hedge(at(0), Permille(750)));
    assert!(budget.try_hedge(at(0), Permille(749)));
}

#[test]
fn retry_balance_is_capped_however_many_calls_were_recorded() {
    let budget = RetryBudget::new(Permille(100));
    (0..100_000).for_each(|_| budget.record_call());
    let retries = (0..1_000).filter(|_| budget.try_retry(at(0))).count();
    assert_eq!(retries as u64, RetryBudget::BURST);
}

/// Sends one call through a chain of `layers`, the last of which calls targets that shed every
/// request. Returns the number of attempts at these targets.
fn call_chain(layers: &[ServiceRetryBudget], now: Tick) -> u64 {
    let Some((budget, next_layers)) = layers.split_first() else {
        return 1;
    };
    let failure =
        if next_layers.is_empty() { AttemptFailure::Shed } else { AttemptFailure::Relayed };
    budget.record_call();
    let mut attempts = call_chain(next_layers, now);
    for _ in 0..MAX_RETRIES {
        if !budget.try_retry(failure, true, now) {
            break;
        }
        attempts += call_chain(next_layers, now);
    }
    attempts
}

#[test]
fn retries_do_not_multiply_along_a_chain_of_calls() {
    for layer_count in 1..=7 {
        let layers: Vec<ServiceRetryBudget> =
            (0..layer_count).map(|_| ServiceRetryBudget::new(Permille(100))).collect();
        let calls = 1_000;
        let attempts: u64 = (0..calls).map(|index| call_chain(&layers, at(index))).sum();
        let allowed = 2 * calls + RetryBudget::BURST + 1;
        assert!(attempts <= allowed, "{layer_count} layers: {attempts} attempts, {calls} calls");
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
    fn token_bucket_stays_within_rate_and_burst_in_any_span(
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
    fn retries_stay_within_their_share_in_any_span(share in 0_u32..1_200, steps in steps()) {
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
                let without_calls = f64::from(RetryBudget::MIN_RATE.get()) * span;
                let allowed = calls as f64 * f64::from(share) / 1_000.0
                    + RetryBudget::BURST as f64
                    + without_calls;
                prop_assert!(
                    retries as f64 <= allowed + 1e-6,
                    "{retries} retries for {calls} calls, {allowed} allowed"
                );
            }
        }
    }
}

#[test]
fn concurrent_threads_take_no_more_tokens_than_the_bucket_holds() {
    let bucket = TokenBucket::new(PerSecond(1), 100);
    let take = || (0..1_000).filter(|_| bucket.try_take(at(0))).count();
    let taken: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(take)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    });
    assert_eq!(taken, 100);
}
