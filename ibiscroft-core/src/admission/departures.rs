//! The measured time that requests hold a place, and how soon places become free.

use std::time::Duration;

use crate::Tick;

/// Least weight of the newest request in the mean.
const NEWEST: f64 = 0.05;

/// Smoothed time that requests hold a place.
#[derive(Debug, Default)]
pub(super) struct Departures {
    held_us: f64,
    count: f64,
    busy_since: Tick,
}

impl Departures {
    /// Notes that the first request was sent after a time without any.
    pub(super) fn note_busy(&mut self, now: Tick) {
        self.busy_since = now;
    }

    /// Notes that a request ended that was sent at `started`.
    pub(super) fn note_departure(&mut self, now: Tick, started: Tick) {
        let held = now.since(started).as_micros() as f64;
        self.busy_since = now;
        self.count += 1.0;
        self.held_us += (held - self.held_us) * NEWEST.max(1.0 / self.count);
    }

    /// Returns the expected time until `count` of the `places` become free.
    ///
    /// A stall is expected to last as long again as it has lasted.
    pub(super) fn expected(&self, now: Tick, count: usize, places: u32) -> Duration {
        let gap = now.since(self.busy_since).as_micros() as f64;
        let stalled = (gap - self.held_us).max(0.0);
        let wait = self.held_us * count as f64 / f64::from(places.max(1));
        Duration::from_micros((wait + stalled) as u64)
    }
}
