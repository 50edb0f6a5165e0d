//! Other ways to select, kept as baselines for the experiment tool.

use std::sync::atomic::{AtomicUsize, Ordering};

use rand::Rng;

use super::pool::Pool;
use super::tried::AttemptedTargets;
use super::two_choices::{draw, select_cold};
use super::{Selection, Selector};
use crate::Tick;

/// Share of the earlier value in a smoothed metric.
const HISTORY_SHARE: f64 = 0.3;
/// Draws of a weighted candidate before any usable one is taken.
const WEIGHTED_DRAWS: usize = 8;

/// A random candidate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

/// Each candidate in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

/// A random candidate weighted by a reported metric with history, as mod_oc4j does.
///
/// The metric is 100 for an idle target and falls with the load that it reported, see
/// [`smoothed_metric`]. "Oracle HTTP Server Administrator's Guide 10g Release 2", section D.3.
#[derive(Clone, Debug, Default)]
pub struct MetricWeighted {
    cumulative: Vec<f64>,
}

/// The less loaded of two random candidates by the reports carried on answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedTwoChoices;

impl MetricWeighted {
    /// Weights the candidates of one pool by `metrics`, in the order of the pool.
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

/// Returns the metric for `load` requests, smoothed by the `previous` one.
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
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let drawn = draw_allowed(pool, tried, now, rng);
        finish(drawn, pool, tried, now, rng)
    }
}

impl Selector for RoundRobin {
    fn select(
        &self,
        pool: &Pool,
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        for _ in pool.warm() {
            if tried.is_full() {
                break;
            }
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let index = pool.warm()[turn % pool.warm().len()];
            if !tried.contains(index) && pool.candidate(index).load.claim(now) {
                return Selection::Warm(index);
            }
        }
        finish(None, pool, tried, now, rng)
    }
}

impl Selector for MetricWeighted {
    fn select(
        &self,
        pool: &Pool,
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let sum = self.cumulative.last().copied().unwrap_or(0.0);
        for _ in 0..WEIGHTED_DRAWS {
            if sum <= 0.0 || tried.is_full() {
                break;
            }
            let point = rng.random_range(0.0..sum);
            let index = self.cumulative.partition_point(|end| *end <= point);
            if pool.warm().binary_search(&index).is_err() || tried.contains(index) {
                continue;
            }
            if pool.candidate(index).load.claim(now) {
                return Selection::Warm(index);
            }
        }
        let drawn = draw_allowed(pool, tried, now, rng);
        finish(drawn, pool, tried, now, rng)
    }
}

impl Selector for ReportedTwoChoices {
    fn select(
        &self,
        pool: &Pool,
        tried: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let first = draw_allowed(pool, tried, now, rng);
        let second = draw_allowed(pool, tried, now, rng);
        let drawn = first.into_iter().chain(second).min_by_key(|index| reported(pool, *index));
        finish(drawn, pool, tried, now, rng)
    }
}

/// Returns the load that the candidate reported, in thousandths of its slots.
fn reported(pool: &Pool, index: usize) -> u64 {
    let candidate = pool.candidate(index);
    let report = candidate.load.report();
    let requests = u64::from(report.running) + u64::from(report.waiting);
    requests * 1_000 / u64::from(candidate.target.slots.get().max(1))
}

fn draw_allowed(
    pool: &Pool,
    tried: &AttemptedTargets,
    now: Tick,
    rng: &mut impl Rng,
) -> Option<usize> {
    if tried.is_full() { None } else { draw(pool, pool.warm(), tried, now, rng) }
}

/// Returns the drawn candidate if it can be claimed, else a cold one or why there is none.
fn finish(
    drawn: Option<usize>,
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
    match drawn {
        Some(index) if pool.candidate(index).load.claim(now) => Selection::Warm(index),
        _ => select_cold(pool, tried, now, rng),
    }
}
