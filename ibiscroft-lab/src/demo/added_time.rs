//! Latency added by gateways, from their metrics.

use std::collections::BTreeMap;

/// Start of a line with a bucket of the histogram.
const BUCKET_PREFIX: &str = "ibiscroft_added_seconds_bucket{le=\"";

/// Histogram of the time that gateways added to calls, summed over gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddedTime {
    /// Cumulative number of calls by upper bound in nanoseconds; the last bound is [`u64::MAX`].
    buckets: BTreeMap<u64, u64>,
}

impl AddedTime {
    /// Adds the histogram from the text of a gateway's `/metrics`.
    pub fn add(&mut self, metrics: &str) {
        for line in metrics.lines() {
            let Some((bound, count)) =
                line.strip_prefix(BUCKET_PREFIX).and_then(|rest| rest.split_once("\"} "))
            else {
                continue;
            };
            let nanos = bound.parse::<f64>().map_or(u64::MAX, |seconds| (seconds * 1e9) as u64);
            let count = count.trim().parse::<f64>().unwrap_or(0.0) as u64;
            *self.buckets.entry(nanos).or_default() += count;
        }
    }

    /// Returns the number of measured calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.buckets.values().copied().max().unwrap_or(0)
    }

    /// Returns the upper bound, in milliseconds, of the bucket that contains a quantile; `None` if
    /// there are no calls or the bucket is unbounded.
    #[must_use]
    pub fn bound_ms(&self, quantile: f64) -> Option<f64> {
        let rank = (self.calls() as f64 * quantile).ceil();
        let bucket = self.buckets.iter().find(|(_, count)| **count as f64 >= rank)?;
        let is_bounded = self.calls() > 0 && *bucket.0 != u64::MAX;
        is_bounded.then_some(*bucket.0 as f64 / 1e6)
    }
}
