//! Selection by two random choices, with preference for the gateway's own availability zone.

use rand::Rng;

use super::attempted_targets::AttemptedTargets;
use super::pool::{Candidate, Pool};
use super::{Selection, Selector};
use crate::Tick;
use crate::ids::Permille;

/// Maximum number of random draws for a usable candidate before the list is searched in order. It
/// also bounds the selections that are repeated because the selected candidate does not allow a
/// request.
const MAX_DRAWS: usize = 4;
/// Load of one request in flight on a target with one slot, in thousandths.
const LOAD_PER_REQUEST: u64 = 1_000;
/// Default of [`TwoChoices::spill_threshold`].
const DEFAULT_SPILL_THRESHOLD: Permille = Permille(250);

/// Selects the less loaded of two random candidates.
///
/// The load is the number of requests that this gateway has in flight at the target, relative
/// to its slots. Two candidates are drawn from the gateway's own availability zone and two
/// from the others. A request leaves the zone when the load of the better candidate in it
/// exceeds that of the better one in the other zones by more than the threshold set with
/// [`TwoChoices::spill_threshold`]. Shed requests count like requests in flight, with a weight
/// that decays within tens of milliseconds, so a zone whose targets shed loses its preference.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices {
    spill_threshold: Permille,
}

impl TwoChoices {
    /// Sets by how much the load in the gateway's own zone may exceed that in other zones, in
    /// thousandths of the slots of a target.
    #[must_use]
    pub fn spill_threshold(mut self, threshold: Permille) -> Self {
        self.spill_threshold = threshold;
        self
    }

    fn select_warm(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let same_zone = less_loaded(pool, pool.same_zone(), attempted, now, rng);
        let other_zone = less_loaded(pool, pool.other_zones(), attempted, now, rng);
        let (Some(same_zone), Some(other_zone)) = (same_zone, other_zone) else {
            return same_zone.or(other_zone).map(|scored| scored.index);
        };
        let limit = other_zone.load + u64::from(self.spill_threshold.get());
        Some(if same_zone.load <= limit { same_zone.index } else { other_zone.index })
    }
}

impl Default for TwoChoices {
    fn default() -> Self {
        Self { spill_threshold: DEFAULT_SPILL_THRESHOLD }
    }
}

impl Selector for TwoChoices {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        if pool.warm().is_empty() && pool.cold().is_empty() {
            return Selection::Empty;
        }
        if attempted.is_full() {
            return Selection::Exhausted;
        }
        for _ in 0..MAX_DRAWS {
            let Some(index) = self.select_warm(pool, attempted, now, rng) else {
                break;
            };
            if pool.candidate(index).load.allow_request(now) {
                return Selection::Warm(index);
            }
        }
        select_cold(pool, attempted, now, rng)
    }
}

/// A candidate with its load in thousandths of its slots.
#[derive(Clone, Copy)]
struct Scored {
    index: usize,
    load: u64,
}

/// Returns the less loaded of two random usable candidates of `list`.
fn less_loaded(
    pool: &Pool,
    list: &[usize],
    attempted: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Option<Scored> {
    let first = draw_usable(pool, list, attempted, now, rng)?;
    let mut second = draw_usable(pool, list, attempted, now, rng)?;
    if first == second {
        second = draw_usable(pool, list, attempted, now, rng)?;
    }
    let first = scored(pool, first, now);
    let second = scored(pool, second, now);
    Some(if second.load < first.load { second } else { first })
}

fn scored(pool: &Pool, index: usize, now: Tick) -> Scored {
    Scored { index, load: relative_load(pool.candidate(index), now) }
}

/// Returns the load that the candidate would have with one more request, in thousandths of its
/// slots.
fn relative_load(candidate: &Candidate, now: Tick) -> u64 {
    let requests = u64::from(candidate.load.in_flight()) + 1;
    let weighted = requests * LOAD_PER_REQUEST + candidate.load.shed_weight(now);
    weighted / u64::from(candidate.target.slots.get().max(1))
}

/// Returns a random usable candidate of `list`.
///
/// After a few random draws the list is searched from the last drawn position on, so that a
/// usable candidate is found whenever there is one.
pub(super) fn draw_usable(
    pool: &Pool,
    list: &[usize],
    attempted: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Option<usize> {
    if list.is_empty() {
        return None;
    }
    let mut position = 0;
    for _ in 0..MAX_DRAWS {
        position = rng.random_range(0..list.len());
        if is_usable(pool, list[position], attempted, now) {
            return Some(list[position]);
        }
    }
    let (before, after) = list.split_at(position);
    after.iter().chain(before).copied().find(|index| is_usable(pool, *index, attempted, now))
}

/// Selects a random usable cold candidate, or returns why there is none.
pub(super) fn select_cold(
    pool: &Pool,
    attempted: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Selection {
    if let Some(index) = draw_usable(pool, pool.cold(), attempted, now, rng) {
        return Selection::Cold(index);
    }
    if pool.warm().iter().chain(pool.cold()).all(|index| attempted.contains(*index)) {
        return Selection::Exhausted;
    }
    Selection::Unreachable
}

/// Returns whether there was no attempt at the candidate and it is not in a backoff.
fn is_usable(pool: &Pool, index: usize, attempted: &AttemptedTargets, now: Tick) -> bool {
    !attempted.contains(index) && pool.candidate(index).load.is_reachable(now)
}
