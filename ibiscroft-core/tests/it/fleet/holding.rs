//! Requests that are held in the gateway until a better target is available.

use std::time::Duration;

use ibiscroft_core::fleet::{Hold, ProbeReport, SaturationSlowdown, Standing};
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
        holds_late: false,
        standing: Standing::Equal,
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

fn busy_report(running: u32) -> ProbeReport {
    ProbeReport {
        running,
        waiting: 0,
        slots: Slots(6),
        slowness: 1.0,
        cold_left: Duration::ZERO,
        is_healthy: true,
    }
}

/// Beyond the knee, requests that are late already must neither be sent where they delay others nor
/// be sent back to callers, whose next attempt is late as well.
#[test]
fn late_request_is_held_with_a_longer_interval_until_its_deadline() {
    struct Case {
        name: &'static str,
        now_ms: u64,
        running: u32,
        delay_ms: Option<u64>,
    }
    let cases = [
        Case { name: "in time", now_ms: 100, running: 4, delay_ms: Some(40) },
        Case { name: "after the aim", now_ms: 700, running: 4, delay_ms: Some(160) },
        Case { name: "after the aim, below the knee", now_ms: 700, running: 3, delay_ms: None },
        Case { name: "shortly before the deadline", now_ms: 2_100, running: 4, delay_ms: None },
    ];
    let hold = Hold {
        aim_at: at(600),
        deadline: at(2_500),
        baseline_latency: Duration::from_millis(270),
        slowdown: SaturationSlowdown::default(),
        holds_late: true,
        standing: Standing::Equal,
    };
    for Case { name, now_ms, running, delay_ms } in cases {
        let delay = hold.delay(at(now_ms), &busy_report(running));
        assert_eq!(delay, delay_ms.map(Duration::from_millis), "{name}");
    }
}

/// A burst of long work with a distant aim must not take the capacity that short urgent work of the
/// same service needs.
#[test]
fn urgent_request_takes_capacity_above_the_knee_and_less_urgent_ones_wait() {
    struct Case {
        name: &'static str,
        standing: Standing,
        baseline_ms: u64,
        aim_ms: u64,
        running: u32,
        delay_ms: Option<u64>,
    }
    let urgent = Standing::MostUrgent;
    let less = Standing::LessUrgent;
    let cases = [
        Case {
            name: "urgent, in time above the knee",
            standing: urgent,
            baseline_ms: 160,
            aim_ms: 400,
            running: 5,
            delay_ms: None,
        },
        Case {
            name: "urgent, late above the knee",
            standing: urgent,
            baseline_ms: 230,
            aim_ms: 400,
            running: 5,
            delay_ms: Some(20),
        },
        Case {
            name: "urgent, would be queued",
            standing: urgent,
            baseline_ms: 100,
            aim_ms: 400,
            running: 6,
            delay_ms: Some(20),
        },
        Case {
            name: "less urgent, much time",
            standing: less,
            baseline_ms: 980,
            aim_ms: 5_000,
            running: 4,
            delay_ms: Some(400),
        },
        Case {
            name: "less urgent, some time",
            standing: less,
            baseline_ms: 400,
            aim_ms: 1_500,
            running: 4,
            delay_ms: Some(120),
        },
        Case {
            name: "less urgent, little time",
            standing: less,
            baseline_ms: 400,
            aim_ms: 600,
            running: 4,
            delay_ms: Some(40),
        },
        Case {
            name: "less urgent, below the knee",
            standing: less,
            baseline_ms: 980,
            aim_ms: 5_000,
            running: 3,
            delay_ms: None,
        },
    ];
    for Case { name, standing, baseline_ms, aim_ms, running, delay_ms } in cases {
        let hold = Hold {
            aim_at: at(aim_ms),
            deadline: at(10_000),
            baseline_latency: Duration::from_millis(baseline_ms),
            slowdown: SaturationSlowdown::default(),
            holds_late: true,
            standing,
        };
        let delay = hold.delay(at(0), &busy_report(running));
        assert_eq!(delay, delay_ms.map(Duration::from_millis), "{name}");
    }
}

/// A less urgent request must not wait for ever behind a steady flow of urgent ones.
#[test]
fn less_urgent_request_probes_ever_more_often_and_is_sent_before_its_deadline() {
    let hold = Hold {
        aim_at: at(5_000),
        deadline: at(10_000),
        baseline_latency: Duration::from_millis(980),
        slowdown: SaturationSlowdown::default(),
        holds_late: true,
        standing: Standing::LessUrgent,
    };
    let mut now = at(0);
    let mut last = Duration::MAX;
    while let Some(delay) = hold.delay(now, &busy_report(5)) {
        if now + Duration::from_millis(1_300) < hold.aim_at {
            assert!(delay <= last, "the interval grows to {delay:?} at {now:?}");
            last = delay;
        }
        now = now + delay;
    }
    assert!(now + Duration::from_millis(980) <= hold.deadline, "sent at {now:?}");
    assert!(last <= Duration::from_millis(50), "interval of {last:?} shortly before the aim");
}
