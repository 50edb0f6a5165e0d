//! Unit tests of the verdicts of `ClaimCoordinator`.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimId, ClaimLimits, ClaimVerdict, ClockReading,
    Fingerprint, Page, PageId, StoredResponse, UnixMillis,
};
use ibiscroft_core::ids::StoreVersion;

const WALL_MS: u64 = 1_733_270_400_000;
const DAY_MS: u64 = 24 * 3_600_000;

fn at(millis: u64) -> ClockReading {
    ClockReading { now: Tick::from_millis(millis), wall: UnixMillis(WALL_MS + millis) }
}

fn arrived(id: u64, time: u64) -> ClaimEvent {
    ClaimEvent::Arrived {
        id: ClaimId(id),
        key: format!("{time}-{id}").parse().unwrap(),
        fingerprint: Fingerprint(1),
        deadline: Tick::from_millis(60_000),
    }
}

fn verdicts(actions: &[ClaimAction]) -> Vec<ClaimVerdict> {
    let mut verdicts = Vec::new();
    for action in actions {
        if let ClaimAction::Decide { verdict, .. } = action {
            verdicts.push(verdict.clone());
        }
    }
    verdicts
}

/// Pages of a store without faults.
type Pages = BTreeMap<PageId, (StoreVersion, Page)>;

/// Carries out store calls without faults until none is left; returns the `Decide` actions.
fn serve(
    coordinator: &mut ClaimCoordinator,
    pages: &mut Pages,
    actions: Vec<ClaimAction>,
    clock: ClockReading,
) -> Vec<ClaimAction> {
    let mut open_actions = actions;
    let mut decided = Vec::new();
    while let Some(action) = open_actions.pop() {
        let event = match action {
            ClaimAction::ReadPage { page } => {
                let (version, content) = pages.get(&page).cloned().unwrap_or_default();
                ClaimEvent::PageRead { page, version, content }
            }
            ClaimAction::WritePage { page, expected, content } => {
                let version = StoreVersion(expected.get() + 1);
                pages.insert(page, (version, content));
                ClaimEvent::PageWritten { page, version }
            }
            decision @ ClaimAction::Decide { .. } => {
                decided.push(decision);
                continue;
            }
        };
        open_actions.extend(coordinator.handle(event, clock));
    }
    decided
}

struct AgeCase {
    name: &'static str,
    time: u64,
    expected: &'static [ClaimVerdict],
}

const AGE_CASES: &[AgeCase] = &[
    AgeCase { name: "now", time: WALL_MS, expected: &[ClaimVerdict::Proceed] },
    AgeCase { name: "24 h old", time: WALL_MS - DAY_MS, expected: &[ClaimVerdict::Proceed] },
    AgeCase {
        name: "older than 24 h",
        time: WALL_MS - DAY_MS - 1,
        expected: &[ClaimVerdict::KeyExpired],
    },
    AgeCase {
        name: "more than 5 min ahead",
        time: WALL_MS + 300_001,
        expected: &[ClaimVerdict::KeyAhead],
    },
];

#[test]
fn keys_too_old_or_too_far_ahead_are_refused() {
    for case in AGE_CASES {
        let mut coordinator = ClaimCoordinator::new(ClaimLimits::for_fleet(18), 1);
        let actions = coordinator.handle(arrived(1, case.time), at(0));
        let decided = serve(&mut coordinator, &mut Pages::new(), actions, at(0));
        assert_eq!(verdicts(&decided), case.expected, "{}", case.name);
    }
}

#[test]
fn verdict_is_given_only_after_the_write_is_confirmed() {
    let mut coordinator = ClaimCoordinator::new(ClaimLimits::for_fleet(18), 1);
    let actions = coordinator.handle(arrived(1, WALL_MS), at(0));
    let [ClaimAction::ReadPage { page }] = actions[..] else {
        panic!("{actions:?}");
    };
    let read = ClaimEvent::PageRead { page, version: StoreVersion(0), content: Page::default() };
    let actions = coordinator.handle(read, at(1));
    assert!(matches!(actions[..], [ClaimAction::WritePage { .. }]), "{actions:?}");
    let actions =
        coordinator.handle(ClaimEvent::PageWritten { page, version: StoreVersion(1) }, at(2));
    assert_eq!(verdicts(&actions), [ClaimVerdict::Proceed]);
}

#[test]
fn claim_confirmed_after_the_deadline_is_released() {
    let mut coordinator = ClaimCoordinator::new(ClaimLimits::for_fleet(18), 1);
    let page = coordinator.limits().page_of(&format!("{WALL_MS}-1").parse().unwrap());
    coordinator.handle(arrived(1, WALL_MS), at(0));
    let read = ClaimEvent::PageRead { page, version: StoreVersion(0), content: Page::default() };
    coordinator.handle(read, at(1));
    let written = ClaimEvent::PageWritten { page, version: StoreVersion(1) };
    let actions = coordinator.handle(written, at(90_000));
    assert_eq!(verdicts(&actions), [ClaimVerdict::Unavailable]);
    let released = actions.iter().any(|action| match action {
        ClaimAction::WritePage { content, .. } => content.records.is_empty(),
        ClaimAction::ReadPage { .. } | ClaimAction::Decide { .. } => false,
    });
    assert!(released, "{actions:?}");
}

#[test]
fn failing_reads_refuse_a_request_after_the_claim_timeout() {
    let limits = ClaimLimits::for_fleet(18);
    let mut coordinator = ClaimCoordinator::new(limits, 1);
    let mut open_actions = coordinator.handle(arrived(1, WALL_MS), at(0));
    let mut decided_at = None;
    for millis in 0..5_000 {
        open_actions.extend(coordinator.handle(ClaimEvent::Tick, at(millis)));
        while let Some(action) = open_actions.pop() {
            match action {
                ClaimAction::ReadPage { page } => {
                    open_actions.extend(
                        coordinator.handle(ClaimEvent::PageReadFailed { page }, at(millis)),
                    );
                }
                ClaimAction::Decide { verdict, .. } => {
                    assert_eq!(verdict, ClaimVerdict::Unavailable);
                    decided_at = Some(millis);
                }
                ClaimAction::WritePage { .. } => panic!("a page was written before it was read"),
            }
        }
    }
    assert_eq!(decided_at.map(Duration::from_millis), Some(limits.claim_timeout));
    assert_eq!(coordinator.open_claims(), 0);
}

#[test]
fn open_claims_are_limited_and_time_out() {
    let limits = ClaimLimits { max_open_claims: 10, ..ClaimLimits::for_fleet(18) };
    let mut coordinator = ClaimCoordinator::new(limits, 1);
    let mut refused = 0;
    for id in 0..100 {
        let actions = coordinator.handle(arrived(id, WALL_MS + id), at(0));
        refused += verdicts(&actions).len();
    }
    assert_eq!((refused, coordinator.open_claims()), (90, 10));
    for millis in 0..10_000 {
        coordinator
            .handle(ClaimEvent::PageReadFailed { page: PageId { slot: 0, shard: 0 } }, at(millis));
    }
    assert_eq!(coordinator.open_claims(), 0);
}

#[test]
fn full_page_accepts_no_more_claims() {
    let limits = ClaimLimits { max_page_bytes: 2_000, shards: 1, ..ClaimLimits::for_fleet(18) };
    let mut coordinator = ClaimCoordinator::new(limits, 1);
    let mut pages = Pages::new();
    let mut sent = 0;
    for id in 0..40 {
        let clock = at(id * 200);
        let actions = coordinator.handle(arrived(id, WALL_MS), clock);
        let decided = serve(&mut coordinator, &mut pages, actions, clock);
        sent +=
            verdicts(&decided).iter().filter(|verdict| **verdict == ClaimVerdict::Proceed).count();
    }
    assert!((5..=12).contains(&sent), "{sent} claims in a page of 2000 bytes");
}

#[test]
fn large_response_is_stored_without_its_body() {
    let response =
        StoredResponse { status: 201, content_type: String::new(), body: Some(vec![b'x'; 3_000]) };
    let stored = response.with_body_up_to(ClaimLimits::for_fleet(18).max_stored_body_bytes);
    assert_eq!((stored.status, stored.body), (201, None));
}
