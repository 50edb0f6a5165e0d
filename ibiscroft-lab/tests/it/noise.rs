//! Random slowdowns of the stand-in backend server.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_lab::backend::{Noise, NoiseOptions};

const OPTIONS: NoiseOptions = NoiseOptions {
    every: Duration::from_millis(300),
    duration: Duration::from_millis(100),
    factor: 5.0,
};

fn slow_millis(seed: u64) -> usize {
    let mut noise = Noise::new(OPTIONS, seed);
    let work = Duration::from_micros(1);
    (0..100_000).filter(|ms| noise.span(Tick::from_millis(*ms), work) > work).count()
}

#[test]
fn slowdowns_take_their_share_of_the_time_and_repeat_with_their_seed() {
    assert_eq!(slow_millis(7), slow_millis(7));
    let share = slow_millis(7);
    assert!((20_000..30_000).contains(&share), "{share} of 100000 ms were slow");
}

#[test]
fn work_is_slow_only_while_the_slowdown_lasts() {
    struct Case {
        name: &'static str,
        before_start_ms: u64,
        work_ms: u64,
        span_ms: u64,
    }
    let cases = [
        Case { name: "ends before", before_start_ms: 50, work_ms: 50, span_ms: 50 },
        Case { name: "reaches into it", before_start_ms: 50, work_ms: 60, span_ms: 100 },
        Case { name: "spans it", before_start_ms: 50, work_ms: 80, span_ms: 160 },
        Case { name: "begins with it", before_start_ms: 0, work_ms: 10, span_ms: 50 },
    ];
    let options = NoiseOptions { every: Duration::from_secs(100), ..OPTIONS };
    let mut start = 0;
    let probe = Duration::from_micros(1);
    while Noise::new(options, 3).span(Tick::from_millis(start), probe) == probe {
        start += 1;
    }
    for case in cases {
        let mut noise = Noise::new(options, 3);
        let begin = Tick::from_millis(start - case.before_start_ms);
        let span = noise.span(begin, Duration::from_millis(case.work_ms)).as_millis() as u64;
        let allowed = case.span_ms.saturating_sub(5)..=case.span_ms + 5;
        assert!(allowed.contains(&span), "{}: {span} ms", case.name);
    }
}
