//! When callers of refused requests may retry.

use std::time::Duration;

use ibiscroft_core::fleet::ExpectedCapacity;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn retry_after_follows_the_expected_capacity() {
    struct Case {
        name: &'static str,
        capacity: ExpectedCapacity,
        left: Duration,
        random: f64,
        expected: Duration,
    }
    let cases = [
        Case {
            name: "targets that fail part of their requests: immediately",
            capacity: ExpectedCapacity::Now,
            left: ms(2_500),
            random: 0.0,
            expected: ms(5),
        },
        Case {
            name: "overload: when capacity is expected",
            capacity: ExpectedCapacity::After(ms(300)),
            left: ms(2_500),
            random: 0.0,
            expected: ms(300),
        },
        Case {
            name: "overload: with full jitter",
            capacity: ExpectedCapacity::After(ms(300)),
            left: ms(2_500),
            random: 1.0,
            expected: ms(450),
        },
        Case {
            name: "short overload: not before the minimum delay",
            capacity: ExpectedCapacity::After(ms(1)),
            left: ms(2_500),
            random: 0.0,
            expected: ms(40),
        },
        Case {
            name: "little time left: not later than the caller would wait",
            capacity: ExpectedCapacity::After(ms(300)),
            left: ms(500),
            random: 0.0,
            expected: ms(150),
        },
        Case {
            name: "no time left",
            capacity: ExpectedCapacity::Now,
            left: Duration::ZERO,
            random: 0.5,
            expected: Duration::ZERO,
        },
    ];
    for Case { name, capacity, left, random, expected } in cases {
        assert_eq!(capacity.retry_after(left, random), expected, "{name}");
    }
}

/// Targets may refuse more than half of their requests although they have free slots. Two retries
/// then suffice for nearly all requests, and must leave enough time to meet the aim.
#[test]
fn two_retries_after_random_refusals_still_meet_the_aim() {
    let (aim, processing_time, refusal_time) = (ms(600), ms(420), ms(20));
    let mut elapsed = Duration::ZERO;
    for _ in 0..2 {
        elapsed += refusal_time;
        elapsed += ExpectedCapacity::Now.retry_after(ms(2_500).saturating_sub(elapsed), 1.0);
    }
    assert!(elapsed + processing_time <= aim, "{} ms before processing", elapsed.as_millis());
}
