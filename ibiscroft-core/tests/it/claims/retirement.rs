//! Tests of the deletion of old pages.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimId, ClaimLimits, ClaimVerdict, ClockReading,
    Fingerprint, RETIREMENT_NOTICE, RetiredSlots, RetirementPlanner, UnixMillis,
};

const WALL: u64 = 1_733_270_400_000;

struct Case {
    name: &'static str,
    /// Record found, relative to the last unneeded slot.
    found: (i64, i64),
    /// Slots deleted and the next record, relative to the last unneeded slot.
    expected: Option<((i64, i64), (i64, i64))>,
}

const CASES: &[Case] = &[
    Case { name: "nothing is old", found: (0, 0), expected: None },
    Case { name: "announced", found: (0, -3), expected: Some(((-2, 0), (0, 0))) },
    Case { name: "goes on", found: (-3, -5), expected: Some(((-4, -3), (0, -3))) },
    Case { name: "far behind", found: (-100, -100), expected: Some(((-99, -100), (-40, -100))) },
    Case { name: "a clock ran ahead", found: (50, -1), expected: Some(((0, 50), (50, 50))) },
    Case { name: "ahead and deleted", found: (50, 50), expected: None },
];

fn at(since: Duration) -> ClockReading {
    ClockReading { now: Tick::ZERO + since, wall: UnixMillis(WALL) }
}

fn slots(base: u64, (through, deleted): (i64, i64)) -> RetiredSlots {
    let slot = |offset: i64| base.checked_add_signed(offset).unwrap();
    RetiredSlots { through: slot(through), deleted: slot(deleted) }
}

#[test]
fn slots_are_deleted_only_after_their_announcement() {
    let limits = ClaimLimits::for_fleet(18);
    let base = limits.last_slot_past_retention(UnixMillis(WALL));
    for case in CASES {
        let mut retirement = RetirementPlanner::default();
        let found = slots(base, case.found);
        let early = Duration::from_millis(59_999);
        assert_eq!(retirement.plan(Some(found), at(Duration::ZERO), &limits), None);
        assert_eq!(retirement.plan(Some(found), at(early), &limits), None, "{}", case.name);
        let plan = retirement.plan(Some(found), at(RETIREMENT_NOTICE), &limits);
        let plan = plan.map(|plan| ((*plan.delete.start(), *plan.delete.end()), plan.next));
        let expected = case.expected.map(|((first, last), next)| {
            let range = slots(base, (last, first));
            ((range.deleted, range.through), slots(base, next))
        });
        assert_eq!(plan, expected, "{}", case.name);
    }
}

#[test]
fn the_first_record_deletes_nothing() {
    let limits = ClaimLimits::for_fleet(18);
    let plan = RetirementPlanner::default().plan(None, at(Duration::ZERO), &limits).unwrap();
    assert!(plan.delete.is_empty());
    assert_eq!(plan.next.through, limits.last_slot_past_retention(UnixMillis(WALL)));
}

#[test]
fn no_slot_of_a_usable_key_is_unneeded() {
    let limits = ClaimLimits::for_fleet(18);
    let horizon = u64::try_from(limits.horizon.as_millis()).unwrap();
    let oldest = UnixMillis(WALL - horizon);
    assert!(!limits.is_expired(oldest, UnixMillis(WALL)));
    assert!(limits.slot_of(oldest) > limits.last_slot_past_retention(UnixMillis(WALL)));
}

#[test]
fn keys_of_retired_slots_are_refused() {
    let limits = ClaimLimits::for_fleet(18);
    let mut coordinator = ClaimCoordinator::new(limits, 1);
    let slot = limits.slot_of(UnixMillis(WALL));
    for (through, wanted) in [(slot - 1, None), (slot, Some(ClaimVerdict::KeyExpired))] {
        coordinator.handle(ClaimEvent::Retired { through }, at(Duration::ZERO));
        let id = ClaimId(through);
        let arrived = ClaimEvent::Arrived {
            id,
            key: format!("{WALL}-{through}").parse().unwrap(),
            fingerprint: Fingerprint(1),
            deadline: Tick::from_millis(5_000),
        };
        let actions = coordinator.handle(arrived, at(Duration::ZERO));
        let verdict = actions.into_iter().find_map(|action| match action {
            ClaimAction::Decide { verdict, .. } => Some(verdict),
            _ => None,
        });
        assert_eq!(verdict, wanted, "through {through}");
    }
}
