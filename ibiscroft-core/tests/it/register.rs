//! Tests of `register`.

use ibiscroft_core::Tick;
use ibiscroft_core::config::ZoneState;
use ibiscroft_core::ids::{ChangeId, Generation, StoreVersion};
use ibiscroft_core::register::{
    MAX_REPAIR_RANK, REPAIR_GRACE, REPAIR_STEP, Register, Repair, Stamped,
};

fn zones(generation: u64, change: &str) -> ZoneState {
    ZoneState {
        generation: Generation(generation),
        change_id: ChangeId::new(change),
        out: Vec::new(),
    }
}

/// A value that is offered and the one in force afterwards.
struct Case {
    offered: ZoneState,
    in_force: ZoneState,
}

#[test]
fn only_newer_values_come_into_force() {
    let cases = [
        Case { offered: zones(2, "b"), in_force: zones(2, "b") },
        Case { offered: zones(1, "z"), in_force: zones(2, "b") },
        Case { offered: zones(2, "a"), in_force: zones(2, "b") },
        Case { offered: zones(2, "b"), in_force: zones(2, "b") },
        Case { offered: zones(2, "c"), in_force: zones(2, "c") },
        Case { offered: zones(3, "a"), in_force: zones(3, "a") },
    ];
    let mut register = Register::default();
    for case in cases {
        let before = register.stamp();
        let is_new = register.offer(&case.offered);
        assert_eq!(register.value(), Some(&case.in_force));
        assert_eq!(is_new, register.stamp() != before);
        assert_eq!(register.generation(), case.in_force.stamp().generation);
    }
}

#[test]
fn an_older_store_is_repaired_in_order_of_rank() {
    for rank in [0, 1, MAX_REPAIR_RANK, 17] {
        let mut register = Register::default();
        register.offer(&zones(5, "e"));
        register.on_store(Some(&zones(3, "c")), StoreVersion(7));
        let due = Tick::ZERO + REPAIR_GRACE + REPAIR_STEP * rank.min(MAX_REPAIR_RANK);
        assert_eq!(register.poll_repair(rank, Tick::ZERO), None);
        assert_eq!(register.poll_repair(rank, Tick::from_micros(due.as_micros() - 1)), None);
        let repair = Repair { value: zones(5, "e"), expected_version: StoreVersion(7) };
        assert_eq!(register.poll_repair(rank, due), Some(repair));
        assert_eq!(register.poll_repair(rank, due), None, "at most one write in a while");
    }
}

#[test]
fn a_repair_is_given_up_when_it_is_not_needed() {
    let older = |register: &mut Register<ZoneState>| {
        register.on_store(Some(&zones(3, "c")), StoreVersion(7));
        assert_eq!(register.poll_repair(0, Tick::ZERO), None);
    };
    let late = Tick::from_millis(60_000);
    let mut register = Register::default();
    register.offer(&zones(5, "e"));

    older(&mut register);
    register.on_store(Some(&zones(5, "e")), StoreVersion(8));
    assert_eq!(register.poll_repair(0, late), None);

    older(&mut register);
    register.on_store_lost();
    assert_eq!(register.poll_repair(0, late), None);

    older(&mut register);
    register.on_store(None, StoreVersion(0));
    assert_eq!(register.poll_repair(0, late), None, "a new view starts a new wait");
    let repair = Repair { value: zones(5, "e"), expected_version: StoreVersion(0) };
    assert_eq!(register.poll_repair(0, late + REPAIR_GRACE), Some(repair));
}
