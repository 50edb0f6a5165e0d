//! Selection that knows the requests in flight from all gateways, as the bound with which the other
//! strategies are compared.

use ibiscroft_core::Tick;
use ibiscroft_core::selection::{AttemptedTargets, Pool, Selection, Selector};
use rand::Rng;

/// Selects the target with the fewest requests in flight. All gateways share one load table, so
/// that each sees the requests of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GlobalView;

impl Selector for GlobalView {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        _now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        if attempted.is_full() {
            return Selection::Exhausted;
        }
        let count = pool.warm().len();
        let offset = rng.random_range(0..count.max(1));
        let mut least: Option<(u32, usize)> = None;
        for step in 0..count {
            let index = pool.warm()[(offset + step) % count];
            if attempted.contains(index) {
                continue;
            }
            let in_flight = pool.candidate(index).load.in_flight();
            if least.is_none_or(|(fewest, _)| in_flight < fewest) {
                least = Some((in_flight, index));
            }
        }
        least.map_or(Selection::Exhausted, |(_, index)| Selection::Warm(index))
    }
}
