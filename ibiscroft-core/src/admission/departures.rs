//! The measured rate at which requests end.

use std::time::Duration;

use crate::Tick;

/// Weight of the newest interval.
const NEWEST: f64 = 0.05;

/// Smoothed time between the ends of requests while some are in flight.
#[derive(Debug, Default)]
pub(super) struct Departures {
    interval_us: f64,
    busy_since: Tick,
}

impl Departures {
    /// Notes that the first request was sent after a time without any.
    pub(super) fn note_busy(&mut self, now: Tick) {
        self.busy_since = now;
    }

    /// Notes that a request ended.
    pub(super) fn note_departure(&mut self, now: Tick) {
        let interval = now.since(self.busy_since).as_micros() as f64;
        self.busy_since = now;
        if self.interval_us == 0.0 {
            self.interval_us = interval;
            return;
        }
        self.interval_us += NEWEST * (interval - self.interval_us);
    }

    /// Returns the expected time until `count` more requests end.
    ///
    /// A stall is expected to last as long again as it has lasted.
    pub(super) fn expected(&self, now: Tick, count: usize) -> Duration {
        let gap = now.since(self.busy_since).as_micros() as f64;
        let stalled = (gap - self.interval_us).max(0.0);
        Duration::from_micros((self.interval_us * count as f64 + stalled) as u64)
    }
}
