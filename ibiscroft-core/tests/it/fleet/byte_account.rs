//! Tests of the account of the bytes that callers make a gateway keep in memory.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{ByteAccount, ByteShare, HolderId, Reservation, STALL_TIME};
use proptest::prelude::*;

const BUDGET: u64 = 8_000;
const BULK_CAPACITY: u64 = 7_000;
const SEGMENT: u64 = 250;

fn ms(millis: u64) -> Tick {
    Tick::from_millis(millis)
}

#[test]
fn bodies_wait_in_order_of_arrival_and_are_granted_as_bytes_are_released() {
    let mut account = ByteAccount::new(BUDGET);
    let ids: Vec<_> = (0..3).map(|at| account.open(ms(at))).collect();
    assert_eq!(
        account.reserve(ms(3), ids[0], ByteShare::Bulk, BULK_CAPACITY),
        Reservation::Granted
    );
    // The small one would not fit either, and does not overtake when it does.
    assert_eq!(account.reserve(ms(3), ids[2], ByteShare::Bulk, 100), Reservation::Waiting);
    assert_eq!(account.reserve(ms(3), ids[1], ByteShare::Bulk, 6_000), Reservation::Waiting);
    assert_eq!(account.release(ms(4), ids[0], ByteShare::Bulk, 500), []);
    assert_eq!(account.release(ms(4), ids[0], ByteShare::Bulk, 6_000), [ids[1], ids[2]]);
    assert_eq!(account.bytes_held(), 500 + 6_100);
}

#[test]
fn holder_of_bytes_does_not_wait_behind_one_without() {
    let mut account = ByteAccount::new(BUDGET);
    let (declared, chunked, other) =
        (account.open(ms(0)), account.open(ms(1)), account.open(ms(2)));
    for (id, bytes) in [(chunked, 1_000), (other, 5_900)] {
        assert_eq!(account.reserve(ms(3), id, ByteShare::Bulk, bytes), Reservation::Granted);
    }
    assert_eq!(account.reserve(ms(3), declared, ByteShare::Bulk, 6_500), Reservation::Waiting);
    assert_eq!(account.reserve(ms(3), chunked, ByteShare::Bulk, 300), Reservation::Waiting);
    assert_eq!(account.close(ms(4), other), [chunked]);
    assert_eq!(account.close(ms(5), chunked), [declared]);
}

#[test]
fn first_segments_do_not_wait_behind_large_bodies() {
    let mut account = ByteAccount::new(BUDGET);
    let ids: Vec<_> = (0..3).map(|at| account.open(ms(at))).collect();
    account.reserve(ms(3), ids[0], ByteShare::Bulk, BULK_CAPACITY);
    assert_eq!(account.reserve(ms(3), ids[1], ByteShare::Bulk, 1), Reservation::Waiting);
    let reservation = account.reserve(ms(3), ids[2], ByteShare::Small, SEGMENT);
    assert_eq!(reservation, Reservation::Granted);
}

#[test]
fn body_larger_than_the_budget_is_served_alone() {
    let mut account = ByteAccount::new(BUDGET);
    let (large, small) = (account.open(ms(0)), account.open(ms(0)));
    let reservation = account.reserve(ms(0), large, ByteShare::Bulk, 10 * BUDGET);
    assert_eq!(reservation, Reservation::Granted);
    assert_eq!(account.reserve(ms(0), small, ByteShare::Bulk, 1), Reservation::Waiting);
    assert_eq!(account.reserve(ms(0), large, ByteShare::Bulk, BUDGET), Reservation::Granted);
    assert_eq!(account.bytes_held(), BULK_CAPACITY);
    assert_eq!(account.close(ms(0), large), [small]);
}

#[test]
fn stalled_holder_is_ended_only_when_another_waits_and_only_after_the_stall_time() {
    let mut account = ByteAccount::new(BUDGET);
    let (stalled, active, waiting) =
        (account.open(ms(0)), account.open(ms(0)), account.open(ms(0)));
    account.reserve(ms(0), stalled, ByteShare::Bulk, 5_000);
    account.reserve(ms(0), active, ByteShare::Bulk, 2_000);
    let later = Tick::ZERO + STALL_TIME * 3;
    assert_eq!(account.end_stalled(later), None);
    assert_eq!(account.reserve(later, waiting, ByteShare::Bulk, 1_000), Reservation::Waiting);
    account.note_progress(later, active);
    let before = Tick::ZERO + (STALL_TIME - Duration::from_millis(1));
    assert_eq!(account.end_stalled(before), None);
    assert_eq!(account.end_stalled(later), Some((stalled, vec![])));
    assert!(account.has_ended(stalled) && !account.has_ended(active));
    assert_eq!(account.reserve(later, stalled, ByteShare::Bulk, 1), Reservation::Ended);
    assert_eq!(account.end_stalled(later), None);
    assert_eq!(account.close(later, stalled), [waiting]);
}

#[test]
fn complete_body_is_not_ended() {
    let mut account = ByteAccount::new(BUDGET);
    let (complete, waiting) = (account.open(ms(0)), account.open(ms(0)));
    account.reserve(ms(0), complete, ByteShare::Bulk, BULK_CAPACITY);
    account.note_complete(complete);
    account.reserve(ms(0), waiting, ByteShare::Bulk, 1);
    assert_eq!(account.end_stalled(Tick::ZERO + STALL_TIME * 10), None);
}

/// Guards against bodies without a length that occupy the budget together and wait for each other.
#[test]
fn last_of_the_holders_that_wait_for_each_other_is_ended() {
    let mut account = ByteAccount::new(BUDGET);
    let ids: Vec<_> = (0..7).map(|at| account.open(ms(at))).collect();
    for id in &ids {
        assert_eq!(account.reserve(ms(7), *id, ByteShare::Bulk, 1_000), Reservation::Granted);
    }
    for id in &ids {
        assert_eq!(account.reserve(ms(7), *id, ByteShare::Bulk, 1_000), Reservation::Waiting);
    }
    assert_eq!(account.end_stalled(ms(7) + STALL_TIME), Some((ids[6], vec![])));
    assert_eq!(account.close(ms(7) + STALL_TIME, ids[6]), [ids[0]]);
}

/// What the caller of a body does.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    /// Sends this number of bytes each step.
    Sends(u64),
    /// Sends a first part and then nothing more.
    Stalls { after: u64 },
    /// Closes its connection after some steps.
    Leaves { after_steps: u32 },
}

/// A body of a test.
#[derive(Clone, Copy, Debug)]
struct Body {
    length: u64,
    is_chunked: bool,
    arrives_at: u32,
    conduct: Conduct,
}

fn body() -> impl Strategy<Value = Body> {
    let conduct = prop_oneof![
        3 => (200..2_000_u64).prop_map(Conduct::Sends),
        2 => (0..6_000_u64).prop_map(|after| Conduct::Stalls { after }),
        1 => (0..40_u32).prop_map(|after_steps| Conduct::Leaves { after_steps }),
    ];
    (1..9_000_u64, any::<bool>(), 0..60_u32, conduct).prop_map(
        |(length, is_chunked, arrives_at, conduct)| Body {
            length,
            is_chunked,
            arrives_at,
            conduct,
        },
    )
}

/// State of a body that has arrived and is not yet gone.
struct Open {
    body: Body,
    received: u64,
    reserved: u64,
    steps: u32,
}

/// Steps of 100 ms after which all bodies of callers that send must have been received.
const MAX_STEPS: u32 = 20_000;

/// Receives bodies by the rules of the gateway; returns the number received whole and those of the
/// callers that kept sending.
fn receive_all(bodies: &[Body]) -> (usize, usize) {
    let mut account = ByteAccount::new(BUDGET);
    let mut open: BTreeMap<HolderId, Open> = BTreeMap::new();
    let (mut whole, mut left) = (0, bodies.to_vec());
    let mut step = 0;
    while step < MAX_STEPS && !(left.is_empty() && open.is_empty()) {
        let now = ms(u64::from(step) * 100);
        for body in left.extract_if(.., |body| body.arrives_at <= step) {
            let id = account.open(now);
            open.insert(id, Open { body, received: 0, reserved: 0, steps: 0 });
        }
        let ids: Vec<_> = open.keys().copied().collect();
        for id in ids {
            let item = open.get_mut(&id).unwrap();
            item.steps += 1;
            let leaves = matches!(item.body.conduct, Conduct::Leaves { after_steps } if item.steps > after_steps);
            if leaves || account.has_ended(id) {
                account.close(now, id);
                open.remove(&id);
                continue;
            }
            if account.is_waiting(id) {
                continue;
            }
            let until = match item.body.conduct {
                Conduct::Sends(count) => item.received + count,
                Conduct::Stalls { after } => after.min(item.body.length - 1),
                Conduct::Leaves { .. } => item.received + 10,
            };
            let until = until.min(item.body.length).min(item.reserved);
            if until > item.received {
                item.received = until;
                account.note_progress(now, id);
            }
            if item.received == item.body.length {
                account.note_complete(id);
                account.close(now, id);
                open.remove(&id);
                whole += 1;
                continue;
            }
            if item.received == item.reserved {
                let rest = item.body.length - item.reserved;
                let count = if item.body.is_chunked { rest.min(SEGMENT) } else { rest };
                let is_small = item.reserved == 0 && count <= SEGMENT;
                let share = if is_small { ByteShare::Small } else { ByteShare::Bulk };
                item.reserved += count;
                account.reserve(now, id, share, count);
            }
            assert!(account.bytes_held() <= BUDGET, "over the budget");
        }
        // At the deadline of its request a body is given up.
        let late: Vec<_> =
            open.iter().filter(|(_, item)| item.steps > 5_000).map(|(id, _)| *id).collect();
        for id in late {
            let is_waiting = account.is_waiting(id);
            assert!(!is_waiting, "a body waits for bytes until the deadline");
            account.close(now, id);
            open.remove(&id);
        }
        account.end_stalled(now);
        step += 1;
    }
    assert!(open.is_empty(), "bodies are stuck");
    assert_eq!(account.bytes_held(), 0, "bytes are leaked");
    assert_eq!(account.waiting_count(), 0);
    let sending = |body: &&Body| matches!(body.conduct, Conduct::Sends(_));
    (whole, bodies.iter().filter(sending).count())
}

proptest! {
    /// Guards against a budget that is exceeded, bytes that are never returned, and bodies that
    /// wait for each other.
    #[test]
    fn account_is_never_exceeded_leaked_or_stuck(bodies in prop::collection::vec(body(), 1..40)) {
        receive_all(&bodies);
    }

    /// Bodies with a length that are sent without a pause are all received, however many others
    /// stall.
    #[test]
    fn bodies_of_a_known_length_that_are_sent_are_received(
        mut bodies in prop::collection::vec(body(), 1..40),
    ) {
        for body in &mut bodies {
            body.is_chunked = false;
        }
        let (whole, sending) = receive_all(&bodies);
        prop_assert!(whole >= sending, "{whole} received, {sending} sent");
    }
}
