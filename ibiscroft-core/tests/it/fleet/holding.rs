//! Requests that wait in the gateway for a better target.

use std::time::Duration;

use ibiscroft_core::fleet::{Hold, ProbeReport, SaturationSlowdown};
use ibiscroft_core::ids::Slots;

use crate::support::at;

/// Load near the knee of a service: every target that was asked is nearly full.
#[test]
fn a_request_waits_while_its_aim_allows() {
    struct Case {
        name: &'static str,
        now_ms: u64,
        running: u32,
        waiting: u32,
        slowness: f64,
        waits: bool,
    }
    let usual = Case { name: "", now_ms: 0, running: 4, waiting: 0, slowness: 1.0, waits: true };
    let cases = [
        Case { name: "nearly full", ..usual },
        Case { name: "a wait line", running: 6, waiting: 2, ..usual },
        Case { name: "a neighbour", running: 0, slowness: 5.0, ..usual },
        Case { name: "below the knee", running: 3, waits: false, ..usual },
        Case { name: "just enough time", now_ms: 197, ..usual },
        Case { name: "too little time", now_ms: 223, waits: false, ..usual },
        Case { name: "after its aim", now_ms: 700, waits: false, ..usual },
    ];
    let hold = Hold {
        aim_at: at(600),
        deadline: at(2_500),
        baseline_latency: Duration::from_millis(270),
        slowdown: SaturationSlowdown::default(),
    };
    for Case { name, now_ms, running, waiting, slowness, waits } in cases {
        let report = ProbeReport {
            running,
            waiting,
            slots: Slots(6),
            slowness,
            cold_left: Duration::ZERO,
            is_healthy: true,
        };
        assert_eq!(hold.delay(at(now_ms), &report).is_some(), waits, "{name}");
        let short = Hold { deadline: at(now_ms + 300), ..hold };
        assert_eq!(short.delay(at(now_ms), &report), None, "{name}, no time left");
    }
}
