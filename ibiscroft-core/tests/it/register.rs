//! Tests of `register`.

use ibiscroft_core::Tick;
use ibiscroft_core::config::ZoneState;
use ibiscroft_core::ids::{ChangeId, Generation, StoreVersion};
use ibiscroft_core::register::{
    MAX_REPAIR_RANK, REPAIR_DELAY, REPAIR_RANK_DELAY, Register, Repair, Stamped,
};

fn zones(generation: u64, change: &str) -> ZoneState {
    ZoneState {
        generation: Generation(generation),
        change_id: ChangeId::new(change),
        out: Vec::new(),
    }
}

/// A received value, and the value in force afterwards.
struct Case {
    received: ZoneState,
    in_force: ZoneState,
}

#[test]
fn only_newer_values_are_accepted() {
    let cases = [
        Case { received: zones(2, "b"), in_force: zones(2, "b") },
        Case { received: zones(1, "z"), in_force: zones(2, "b") },
        Case { received: zones(2, "a"), in_force: zones(2, "b") },
        Case { received: zones(2, "b"), in_force: zones(2, "b") },
        Case { received: zones(2, "c"), in_force: zones(2, "c") },
        Case { received: zones(3, "a"), in_force: zones(3, "a") },
    ];
    let mut register = Register::default();
    for case in cases {
        let before = register.stamp();
        let is_accepted = register.accept_if_newer(&case.received);
        assert_eq!(register.value(), Some(&case.in_force));
        assert_eq!(is_accepted, register.stamp() != before);
        assert_eq!(register.generation(), case.in_force.stamp().generation);
    }
}

#[test]
fn older_store_value_is_repaired_after_a_delay_by_rank() {
    for rank in [0, 1, MAX_REPAIR_RANK, 17] {
        let mut register = Register::default();
        register.accept_if_newer(&zones(5, "e"));
        register.on_store(Some(&zones(3, "c")), StoreVersion(7));
        let due = Tick::ZERO + REPAIR_DELAY + REPAIR_RANK_DELAY * rank.min(MAX_REPAIR_RANK);
        assert_eq!(register.poll_repair(rank, Tick::ZERO), None);
        assert_eq!(register.poll_repair(rank, Tick::from_micros(due.as_micros() - 1)), None);
        let repair = Repair { value: zones(5, "e"), expected_version: StoreVersion(7) };
        assert_eq!(register.poll_repair(rank, due), Some(repair));
        assert_eq!(register.poll_repair(rank, due), None, "one write for each delay");
    }
}

#[test]
fn repair_is_cancelled_when_the_store_is_current_lost_or_changed() {
    let read_older_value = |register: &mut Register<ZoneState>| {
        register.on_store(Some(&zones(3, "c")), StoreVersion(7));
        assert_eq!(register.poll_repair(0, Tick::ZERO), None);
    };
    let late = Tick::from_millis(60_000);
    let mut register = Register::default();
    register.accept_if_newer(&zones(5, "e"));

    read_older_value(&mut register);
    register.on_store(Some(&zones(5, "e")), StoreVersion(8));
    assert_eq!(register.poll_repair(0, late), None);

    read_older_value(&mut register);
    register.on_store_lost();
    assert_eq!(register.poll_repair(0, late), None);

    read_older_value(&mut register);
    register.on_store(None, StoreVersion(0));
    assert_eq!(register.poll_repair(0, late), None, "a changed store restarts the delay");
    let repair = Repair { value: zones(5, "e"), expected_version: StoreVersion(0) };
    assert_eq!(register.poll_repair(0, late + REPAIR_DELAY), Some(repair));
}
