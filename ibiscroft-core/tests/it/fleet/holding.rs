//! Requests that are held in the gateway until a better target is available.

use std::time::Duration;

use ibiscroft_core::fleet::{Hold, ProbeReport, SaturationSlowdown};
use ibiscroft_core::ids::Slots;

use crate::support::at;

/// When a service is loaded up to the knee, all probed targets may be near saturation.
#[test]
fn request_is_held_while_it_can_still_meet_its_aim() {
    struct Case {
        name: &'static str,
        now_ms: u64,
        running: u32,
        waiting: u32,
        slowness: f64,
        is_held: bool,
    }
    let base = Case { name: "", now_ms: 0, running: 4, waiting: 0, slowness: 1.0, is_held: true };
    let cases = [
        Case { name: "near saturation", ..base },
        Case { name: "queued requests", running: 6, waiting: 2, ..base },
        Case {
            name: "slowed down by other load on the machine",
            running: 0,
            slowness: 5.0,
            ..base
        },
        Case { name: "below the knee", running: 3, is_held: false, ..base },
        Case { name: "just enough time left until the aim", now_ms: 197, ..base },
        Case { name: "too little time left until the aim", now_ms: 223, is_held: false, ..base },
        Case { name: "after the aim", now_ms: 700, is_held: false, ..base },
    ];
    let hold = Hold {
        aim_at: at(600),
        deadline: at(2_500),
        baseline_latency: Duration::from_millis(270),
        slowdown: SaturationSlowdown::default(),
    };
    for Case { name, now_ms, running, waiting, slowness, is_held } in cases {
        let report = ProbeReport {
            running,
            waiting,
            slots: Slots(6),
            slowness,
            cold_left: Duration::ZERO,
            is_healthy: true,
        };
        assert_eq!(hold.delay(at(now_ms), &report).is_some(), is_held, "{name}");
        let short = Hold { deadline: at(now_ms + 300), ..hold };
        assert_eq!(
            short.delay(at(now_ms), &report),
            None,
            "{name}, too little time left until the deadline"
        );
    }
}
