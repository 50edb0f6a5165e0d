//! Unit tests of the retirement of time slots and the deletion of their pages.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimId, ClaimLimits, ClaimVerdict, ClockReading,
    Fingerprint, RETIREMENT_NOTICE, RetiredSlots, RetirementPlanner, UnixMillis,
};

const WALL_MS: u64 = 1_733_270_400_000;

struct Case {
    name: &'static str,
    /// Record in the store: `through` and `deleted`, relative to the last slot past retention.
    stored: (i64, i64),
    /// Slots deleted (first and last) and next record, relative to the last slot past retention.
    expected: Option<((i64, i64), (i64, i64))>,
}

const CASES: &[Case] = &[
    Case { name: "no slot is past retention", stored: (0, 0), expected: None },
    Case {
        name: "announced slots are deleted",
        stored: (0, -3),
        expected: Some(((-2, 0), (0, 0))),
    },
    Case {
        name: "announced slots are deleted and the next announced",
        stored: (-3, -5),
        expected: Some(((-4, -3), (0, -3))),
    },
    Case {
        name: "announcement is limited to 60 slots",
        stored: (-100, -100),
        expected: Some(((-99, -100), (-40, -100))),
    },
    Case {
        name: "announced by a gateway with its clock ahead",
        stored: (50, -1),
        expected: Some(((0, 50), (50, 50))),
    },
    Case { name: "deleted by a gateway with its clock ahead", stored: (50, 50), expected: None },
];

fn at(since: Duration) -> ClockReading {
    ClockReading { now: Tick::ZERO + since, wall: UnixMillis(WALL_MS) }
}

fn slots(base: u64, (through, deleted): (i64, i64)) -> RetiredSlots {
    let slot = |offset: i64| base.checked_add_signed(offset).unwrap();
    RetiredSlots { through: slot(through), deleted: slot(deleted) }
}

#[test]
fn slots_are_deleted_only_after_the_retirement_notice() {
    let limits = ClaimLimits::for_fleet(18);
    let base = limits.last_slot_past_retention(UnixMillis(WALL_MS));
    for case in CASES {
        let mut planner = RetirementPlanner::default();
        let stored = slots(base, case.stored);
        let early = Duration::from_millis(59_999);
        assert_eq!(planner.plan(Some(stored), at(Duration::ZERO), &limits), None);
        assert_eq!(planner.plan(Some(stored), at(early), &limits), None, "{}", case.name);
        let plan = planner.plan(Some(stored), at(RETIREMENT_NOTICE), &limits);
        let plan = plan.map(|plan| ((*plan.delete.start(), *plan.delete.end()), plan.next));
        let expected = case.expected.map(|((first, last), next)| {
            let range = slots(base, (last, first));
            ((range.deleted, range.through), slots(base, next))
        });
        assert_eq!(plan, expected, "{}", case.name);
    }
}

#[test]
fn first_retirement_record_deletes_no_pages() {
    let limits = ClaimLimits::for_fleet(18);
    let plan = RetirementPlanner::default().plan(None, at(Duration::ZERO), &limits).unwrap();
    assert!(plan.delete.is_empty());
    assert_eq!(plan.next.through, limits.last_slot_past_retention(UnixMillis(WALL_MS)));
}

#[test]
fn slots_of_unexpired_keys_are_within_retention() {
    let limits = ClaimLimits::for_fleet(18);
    let max_key_age = u64::try_from(limits.max_key_age.as_millis()).unwrap();
    let oldest = UnixMillis(WALL_MS - max_key_age);
    assert!(!limits.is_expired(oldest, UnixMillis(WALL_MS)));
    assert!(limits.slot_of(oldest) > limits.last_slot_past_retention(UnixMillis(WALL_MS)));
}

#[test]
fn keys_of_retired_slots_are_refused() {
    let limits = ClaimLimits::for_fleet(18);
    let mut coordinator = ClaimCoordinator::new(limits, 1);
    let slot = limits.slot_of(UnixMillis(WALL_MS));
    for (through, expected) in [(slot - 1, None), (slot, Some(ClaimVerdict::KeyExpired))] {
        coordinator.handle(ClaimEvent::Retired { through }, at(Duration::ZERO));
        let id = ClaimId(through);
        let arrived = ClaimEvent::Arrived {
            id,
            key: format!("{WALL_MS}-{through}").parse().unwrap(),
            fingerprint: Fingerprint(1),
            deadline: Tick::from_millis(5_000),
        };
        let actions = coordinator.handle(arrived, at(Duration::ZERO));
        let verdict = actions.into_iter().find_map(|action| match action {
            ClaimAction::Decide { verdict, .. } => Some(verdict),
            _ => None,
        });
        assert_eq!(verdict, expected, "through {through}");
    }
}
