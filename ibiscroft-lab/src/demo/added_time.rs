//! Time that gateways added, from their metrics.

use std::collections::BTreeMap;

const METRIC: &str = "ibiscroft_added_seconds_bucket{le=\"";

/// Calls by the upper bound of their added time, summed over gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddedTime {
    /// Cumulative calls by upper bound, in nanoseconds; the last bound is unlimited.
    buckets: BTreeMap<u64, u64>,
}

impl AddedTime {
    /// Adds the histogram in the text of one gateway's `/metrics`.
    pub fn add(&mut self, metrics: &str) {
        for line in metrics.lines() {
            let Some((bound, count)) =
                line.strip_prefix(METRIC).and_then(|rest| rest.split_once("\"} "))
            else {
                continue;
            };
            let nanos = bound.parse::<f64>().map_or(u64::MAX, |seconds| (seconds * 1e9) as u64);
            let count = count.trim().parse::<f64>().unwrap_or(0.0) as u64;
            *self.buckets.entry(nanos).or_default() += count;
        }
    }

    /// Returns how many calls were measured.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.buckets.values().copied().max().unwrap_or(0)
    }

    /// Returns the upper bound, in milliseconds, of the bucket that holds a quantile; `None` when
    /// there are no calls or the bucket has no bound.
    #[must_use]
    pub fn bound_ms(&self, quantile: f64) -> Option<f64> {
        let wanted = (self.calls() as f64 * quantile).ceil();
        let bucket = self.buckets.iter().find(|(_, count)| **count as f64 >= wanted)?;
        let is_measured = self.calls() > 0 && *bucket.0 != u64::MAX;
        is_measured.then_some(*bucket.0 as f64 / 1e6)
    }
}
