//! The less loaded of two random candidates, one's own availability zone preferred.

use rand::Rng;

use super::pool::{Candidate, Pool};
use super::tried::AttemptedTargets;
use super::{Selection, Selector};
use crate::Tick;
use crate::ids::Permille;

/// Random draws for a usable candidate before the list is searched.
const DRAWS: usize = 4;
/// Load of one request in flight on one slot.
const LOAD_PER_REQUEST: u64 = 1_000;
/// Default of [`TwoChoices::spill_excess`].
const DEFAULT_SPILL_EXCESS: Permille = Permille(250);

/// Two choices by this gateway's requests in flight for each slot.
///
/// Two candidates are drawn from the gateway's own availability zone and two from the others.
/// A request leaves the zone when the best candidate there is busier by more than
/// `spill_excess`. Refusals count like requests in flight and decay within tens of
/// milliseconds, so a zone that refuses loses its preference.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices {
    spill_excess: Permille,
}

impl TwoChoices {
    /// Sets how much busier one's own zone may be, in thousandths of the slots of a target.
    #[must_use]
    pub fn spill_excess(mut self, excess: Permille) -> Self {
        self.spill_excess = excess;
        self
    }

    fn select_warm(
        &self,
        pool: &Pool,
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let near = less_loaded(pool, pool.near(), tried, now, rng);
        let far = less_loaded(pool, pool.far(), tried, now, rng);
        let (Some(near), Some(far)) = (near, far) else {
            return near.or(far).map(|scored| scored.index);
        };
        let limit = far.load + u64::from(self.spill_excess.get());
        Some(if near.load <= limit { near.index } else { far.index })
    }
}

impl Default for TwoChoices {
    fn default() -> Self {
        Self { spill_excess: DEFAULT_SPILL_EXCESS }
    }
}

impl Selector for TwoChoices {
    fn select(
        &self,
        pool: &Pool,
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        if pool.warm().is_empty() && pool.cold().is_empty() {
            return Selection::Empty;
        }
        if tried.is_full() {
            return Selection::Exhausted;
        }
        for _ in 0..DRAWS {
            let Some(index) = self.select_warm(pool, tried, now, rng) else {
                break;
            };
            if pool.candidate(index).load.claim(now) {
                return Selection::Warm(index);
            }
        }
        select_cold(pool, tried, now, rng)
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
    tried: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Option<Scored> {
    let first = draw(pool, list, tried, now, rng)?;
    let mut second = draw(pool, list, tried, now, rng)?;
    if first == second {
        second = draw(pool, list, tried, now, rng)?;
    }
    let first = scored(pool, first, now);
    let second = scored(pool, second, now);
    Some(if second.load < first.load { second } else { first })
}

fn scored(pool: &Pool, index: usize, now: Tick) -> Scored {
    Scored { index, load: relative_load(pool.candidate(index), now) }
}

/// Returns the load with one more request, in thousandths of the target's slots.
fn relative_load(candidate: &Candidate, now: Tick) -> u64 {
    let requests = u64::from(candidate.load.in_flight()) + 1;
    let weighted = requests * LOAD_PER_REQUEST + candidate.load.shed_weight(now);
    weighted / u64::from(candidate.target.slots.get().max(1))
}

/// Returns a random usable candidate of `list`.
pub(super) fn draw(
    pool: &Pool,
    list: &[usize],
    tried: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Option<usize> {
    if list.is_empty() {
        return None;
    }
    let mut position = 0;
    for _ in 0..DRAWS {
        position = rng.random_range(0..list.len());
        if is_usable(pool, list[position], tried, now) {
            return Some(list[position]);
        }
    }
    let (before, after) = list.split_at(position);
    after.iter().chain(before).copied().find(|index| is_usable(pool, *index, tried, now))
}

/// Returns a cold candidate, or why there is none.
pub(super) fn select_cold(
    pool: &Pool,
    tried: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Selection {
    if let Some(index) = draw(pool, pool.cold(), tried, now, rng) {
        return Selection::Cold(index);
    }
    if pool.warm().iter().chain(pool.cold()).all(|index| tried.contains(*index)) {
        return Selection::Exhausted;
    }
    Selection::Unreachable
}

fn is_usable(pool: &Pool, index: usize, tried: &AttemptedTargets, now: Tick) -> bool {
    !tried.contains(index) && pool.candidate(index).load.is_reachable(now)
}
