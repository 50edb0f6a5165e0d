//! Estimate of a queueing time from the time that requests occupy a concurrency slot.

use std::time::Duration;

use crate::Tick;

/// Weight of the newest request in the mean once many requests have ended.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Estimates waits from the smoothed time between the sending and the end of a request, and from
/// the time since a request ended last.
#[derive(Debug, Default)]
pub(super) struct WaitEstimator {
    /// Smoothed time between the sending and the end of a request, in microseconds.
    mean_service_us: f64,
    samples: f64,
    /// When a request ended last, or when the first one was sent after a time without any.
    last_progress: Tick,
}

impl WaitEstimator {
    /// Records that a request was sent while no other was running.
    pub(super) fn record_busy(&mut self, now: Tick) {
        self.last_progress = now;
    }

    /// Records the end of a request that was sent at `started`.
    pub(super) fn record_departure(&mut self, now: Tick, started: Tick) {
        let service_us = now.since(started).as_micros() as f64;
        self.last_progress = now;
        self.samples += 1.0;
        self.mean_service_us +=
            (service_us - self.mean_service_us) * MIN_SAMPLE_WEIGHT.max(1.0 / self.samples);
    }

    /// Returns the expected time until `count` requests have ended, while `concurrency` are
    /// sent at once.
    ///
    /// When no request has ended for longer than the mean, the excess is added, that is, a
    /// stall is expected to last as long again as it has lasted.
    pub(super) fn expected_wait(&self, now: Tick, count: usize, concurrency: u32) -> Duration {
        let since_progress = now.since(self.last_progress).as_micros() as f64;
        let stalled = (since_progress - self.mean_service_us).max(0.0);
        let wait = self.mean_service_us * count as f64 / f64::from(concurrency.max(1));
        Duration::from_micros((wait + stalled) as u64)
    }
}
