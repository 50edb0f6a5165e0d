//! When callers of refused requests may come back.

use std::time::Duration;

use ibiscroft_core::fleet::ExpectedCapacity;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn callers_come_back_when_there_is_room() {
    struct Case {
        name: &'static str,
        room: ExpectedCapacity,
        left: Duration,
        chance: f64,
        back: Duration,
    }
    let cases = [
        Case {
            name: "targets fail a part of their requests: at once",
            room: ExpectedCapacity::Now,
            left: ms(2_500),
            chance: 0.0,
            back: ms(5),
        },
        Case {
            name: "overload: when there is room",
            room: ExpectedCapacity::After(ms(300)),
            left: ms(2_500),
            chance: 0.0,
            back: ms(300),
        },
        Case {
            name: "overload: returns are spread",
            room: ExpectedCapacity::After(ms(300)),
            left: ms(2_500),
            chance: 1.0,
            back: ms(450),
        },
        Case {
            name: "a moment of overload: not sooner than a return takes",
            room: ExpectedCapacity::After(ms(1)),
            left: ms(2_500),
            chance: 0.0,
            back: ms(40),
        },
        Case {
            name: "a caller with little time is not told to wait longer than it would",
            room: ExpectedCapacity::After(ms(300)),
            left: ms(500),
            chance: 0.0,
            back: ms(150),
        },
        Case {
            name: "no time left",
            room: ExpectedCapacity::Now,
            left: Duration::ZERO,
            chance: 0.5,
            back: Duration::ZERO,
        },
    ];
    for Case { name, room, left, chance, back } in cases {
        assert_eq!(room.retry_after(left, chance), back, "{name}");
    }
}

/// Load of the pattern "targets refuse more than half of their requests though they have room":
/// callers that may return twice are answered within their aim nearly always.
#[test]
fn targets_that_refuse_at_random_cost_callers_little_time() {
    let (aim, work, refused_within) = (ms(600), ms(420), ms(20));
    let mut elapsed = Duration::ZERO;
    for _ in 0..2 {
        elapsed += refused_within;
        elapsed += ExpectedCapacity::Now.retry_after(ms(2_500).saturating_sub(elapsed), 1.0);
    }
    assert!(elapsed + work <= aim, "{} ms before the work", elapsed.as_millis());
}
