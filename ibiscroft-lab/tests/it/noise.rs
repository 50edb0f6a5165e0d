//! Random slowdowns of the stand-in backend server.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_lab::backend::{Noise, NoiseOptions};

const OPTIONS: NoiseOptions = NoiseOptions {
    every: Duration::from_millis(300),
    duration: Duration::from_millis(100),
    factor: 5.0,
};

/// Returns the number of milliseconds, of 100 000, in which the server is slow.
fn slow_millis(seed: u64) -> usize {
    let mut noise = Noise::new(OPTIONS, seed);
    let work = Duration::from_micros(1);
    (0..100_000).filter(|ms| noise.work_duration(Tick::from_millis(*ms), work) > work).count()
}

#[test]
fn slowdowns_are_reproducible_and_take_expected_share_of_time() {
    assert_eq!(slow_millis(7), slow_millis(7));
    let share = slow_millis(7);
    assert!((20_000..30_000).contains(&share), "{share} of 100000 ms were slow");
}

#[test]
fn work_is_slow_only_during_slowdown() {
    struct Case {
        name: &'static str,
        before_start_ms: u64,
        work_ms: u64,
        expected_ms: u64,
    }
    let cases = [
        Case {
            name: "ends before the slowdown",
            before_start_ms: 50,
            work_ms: 50,
            expected_ms: 50,
        },
        Case {
            name: "ends during the slowdown",
            before_start_ms: 50,
            work_ms: 60,
            expected_ms: 100,
        },
        Case {
            name: "ends after the slowdown",
            before_start_ms: 50,
            work_ms: 80,
            expected_ms: 160,
        },
        Case { name: "starts with the slowdown", before_start_ms: 0, work_ms: 10, expected_ms: 50 },
    ];
    let options = NoiseOptions { every: Duration::from_secs(100), ..OPTIONS };
    let mut start = 0;
    let work = Duration::from_micros(1);
    while Noise::new(options, 3).work_duration(Tick::from_millis(start), work) == work {
        start += 1;
    }
    for case in cases {
        let mut noise = Noise::new(options, 3);
        let now = Tick::from_millis(start - case.before_start_ms);
        let duration_ms =
            noise.work_duration(now, Duration::from_millis(case.work_ms)).as_millis() as u64;
        let allowed = case.expected_ms.saturating_sub(5)..=case.expected_ms + 5;
        assert!(allowed.contains(&duration_ms), "{}: {duration_ms} ms", case.name);
    }
}
