//! Cold start of the stand-in backend server.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_lab::backend::ColdStart;

#[test]
fn cold_server_counts_requests_over_capacity() {
    struct Case {
        name: &'static str,
        concurrent: usize,
        violations: u64,
        warm_after_warm_up: bool,
    }
    let cases = [
        Case { name: "no traffic", concurrent: 0, violations: 0, warm_after_warm_up: false },
        Case { name: "at capacity", concurrent: 2, violations: 0, warm_after_warm_up: true },
        Case { name: "one over capacity", concurrent: 3, violations: 1, warm_after_warm_up: true },
        Case {
            name: "three over capacity",
            concurrent: 5,
            violations: 3,
            warm_after_warm_up: true,
        },
    ];
    for case in cases {
        let mut cold = ColdStart::new(2, Duration::from_millis(100));
        for _ in 0..case.concurrent {
            cold.on_received(Tick::ZERO);
        }
        assert_eq!(cold.violations(), case.violations, "{}", case.name);
        assert_eq!(cold.peak(), case.concurrent, "{}", case.name);
        assert!(cold.is_cold(Tick::from_millis(99)), "{}", case.name);
        assert_eq!(!cold.is_cold(Tick::from_millis(100)), case.warm_after_warm_up, "{}", case.name);
    }
}

#[test]
fn request_over_capacity_restarts_warm_up() {
    let mut cold = ColdStart::new(1, Duration::from_millis(100));
    cold.on_received(Tick::ZERO);
    cold.on_received(Tick::from_millis(50));
    assert!(cold.is_cold(Tick::from_millis(149)));
    assert!(!cold.is_cold(Tick::from_millis(150)));
    cold.set_cold();
    assert_eq!(cold.cold_starts(), 2);
    assert!(cold.is_cold(Tick::from_millis(1_000)));
}
