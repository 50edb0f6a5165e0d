//! Cold start of the stand-in backend server.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_lab::backend::ColdStart;

#[test]
fn a_cold_server_counts_what_is_above_its_bearing() {
    struct Case {
        name: &'static str,
        at_once: usize,
        violations: u64,
        warm_after: bool,
    }
    let cases = [
        Case { name: "no traffic", at_once: 0, violations: 0, warm_after: false },
        Case { name: "as much as it bears", at_once: 2, violations: 0, warm_after: true },
        Case { name: "one too many", at_once: 3, violations: 1, warm_after: true },
        Case { name: "three too many", at_once: 5, violations: 3, warm_after: true },
    ];
    for case in cases {
        let mut cold = ColdStart::new(2, Duration::from_millis(100));
        for _ in 0..case.at_once {
            cold.on_received(Tick::ZERO);
        }
        assert_eq!(cold.violations(), case.violations, "{}", case.name);
        assert_eq!(cold.peak(), case.at_once, "{}", case.name);
        assert!(cold.is_cold(Tick::from_millis(99)), "{}", case.name);
        assert_eq!(!cold.is_cold(Tick::from_millis(100)), case.warm_after, "{}", case.name);
    }
}

#[test]
fn a_violation_begins_the_warm_up_again() {
    let mut cold = ColdStart::new(1, Duration::from_millis(100));
    cold.on_received(Tick::ZERO);
    cold.on_received(Tick::from_millis(50));
    assert!(cold.is_cold(Tick::from_millis(149)));
    assert!(!cold.is_cold(Tick::from_millis(150)));
    cold.cool();
    assert_eq!(cold.times(), 2);
    assert!(cold.is_cold(Tick::from_millis(1_000)));
}
