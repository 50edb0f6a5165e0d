//! Other selection strategies, kept as baselines for the experiment tool.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand::Rng;

use super::attempted_targets::AttemptedTargets;
use super::pool::Pool;
use super::two_choices::{draw_usable, select_cold};
use super::{Selection, Selector};
use crate::Tick;

/// Weight of the previous value in a smoothed metric.
const HISTORY_SHARE: f64 = 0.3;
/// Weighted random draws before any usable candidate is taken.
const MAX_WEIGHTED_DRAWS: usize = 8;

/// Selects a random candidate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

/// Selects each candidate in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

/// Selects a random candidate weighted by a smoothed load metric, as Oracle's mod_oc4j does.
///
/// The metric is 100 for an idle target and falls with the load that it reported, see
/// [`smoothed_metric`]. The method is described in "Oracle HTTP Server Administrator's Guide
/// 10g Release 2", section D.3.
#[derive(Clone, Debug, Default)]
pub struct MetricWeighted {
    /// Sums of the metrics up to and including each candidate.
    cumulative: Vec<f64>,
}

/// Selects the less loaded of two random candidates by the load reports on responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedTwoChoices;

impl MetricWeighted {
    /// Creates a selector for one pool, whose candidates have `metrics` in the same order.
    #[must_use]
    pub fn new(metrics: &[f64]) -> Self {
        let mut sum = 0.0;
        let mut cumulative = Vec::with_capacity(metrics.len());
        for metric in metrics {
            sum += metric.max(f64::MIN_POSITIVE);
            cumulative.push(sum);
        }
        Self { cumulative }
    }
}

/// Returns the metric for a reported load of `load` requests, smoothed with the `previous` one.
///
/// ```
/// use ibiscroft_core::selection::smoothed_metric;
///
/// assert_eq!(smoothed_metric(0, 100.0), 100.0);
/// assert!(smoothed_metric(6, 100.0) < 60.0);
/// ```
#[must_use]
pub fn smoothed_metric(load: u32, previous: f64) -> f64 {
    let metric = 100.0 / (1.0 + f64::from(load).ln_1p());
    (1.0 - HISTORY_SHARE) * metric + HISTORY_SHARE * previous
}

impl Selector for Random {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let drawn = draw_warm(pool, attempted, now, rng);
        select_drawn_or_cold(drawn, pool, attempted, now, rng)
    }
}

impl Selector for RoundRobin {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        for _ in pool.warm() {
            if attempted.is_full() {
                break;
            }
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let index = pool.warm()[turn % pool.warm().len()];
            if !attempted.contains(index) && pool.candidate(index).load.allow_request(now) {
                return Selection::Warm(index);
            }
        }
        select_drawn_or_cold(None, pool, attempted, now, rng)
    }
}

impl Selector for MetricWeighted {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let sum = self.cumulative.last().copied().unwrap_or(0.0);
        for _ in 0..MAX_WEIGHTED_DRAWS {
            if sum <= 0.0 || attempted.is_full() {
                break;
            }
            let point = rng.random_range(0.0..sum);
            let index = self.cumulative.partition_point(|end| *end <= point);
            if pool.warm().binary_search(&index).is_err() || attempted.contains(index) {
                continue;
            }
            if pool.candidate(index).load.allow_request(now) {
                return Selection::Warm(index);
            }
        }
        let drawn = draw_warm(pool, attempted, now, rng);
        select_drawn_or_cold(drawn, pool, attempted, now, rng)
    }
}

impl Selector for ReportedTwoChoices {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let first = draw_warm(pool, attempted, now, rng);
        let second = draw_warm(pool, attempted, now, rng);
        let drawn = first.into_iter().chain(second).min_by_key(|index| reported_load(pool, *index));
        select_drawn_or_cold(drawn, pool, attempted, now, rng)
    }
}

/// Returns the load that the candidate at `index` reported, in thousandths of its slots.
fn reported_load(pool: &Pool, index: usize) -> u64 {
    let candidate = pool.candidate(index);
    let report = candidate.load.report();
    let requests = u64::from(report.running) + u64::from(report.waiting);
    requests * 1_000 / u64::from(candidate.target.slots.get().max(1))
}

/// Returns a random usable warm candidate, `None` also when no attempts are left.
fn draw_warm(
    pool: &Pool,
    attempted: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Option<usize> {
    if attempted.is_full() { None } else { draw_usable(pool, pool.warm(), attempted, now, rng) }
}

/// Selects the `drawn` candidate if it allows a request, else a cold one, or returns why there
/// is none.
fn select_drawn_or_cold(
    drawn: Option<usize>,
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
    match drawn {
        Some(index) if pool.candidate(index).load.allow_request(now) => Selection::Warm(index),
        _ => select_cold(pool, attempted, now, rng),
    }
}
