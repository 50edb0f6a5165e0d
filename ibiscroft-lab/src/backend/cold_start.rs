//! Cold start: the limited capacity of a backend server until it has had traffic for a while.

use std::time::Duration;

use ibiscroft_core::Tick;

/// Whether the server is cold, and the requests that it received while cold.
///
/// The warm-up starts with the first request. A request that exceeds the cold capacity starts it
/// again.
#[derive(Clone, Debug)]
pub struct ColdStart {
    capacity: usize,
    warm_up: Duration,
    cold: bool,
    first_request_at: Option<Tick>,
    in_flight: usize,
    received: u64,
    peak: usize,
    violations: u64,
    cold_starts: u64,
}

impl ColdStart {
    /// Creates the state of a server that takes `capacity` concurrent requests until it is warm.
    /// The server starts warm if `warm_up` is zero.
    #[must_use]
    pub fn new(capacity: usize, warm_up: Duration) -> Self {
        let cold = !warm_up.is_zero();
        Self {
            capacity,
            warm_up,
            cold,
            first_request_at: None,
            in_flight: 0,
            received: 0,
            peak: 0,
            violations: 0,
            cold_starts: u64::from(cold),
        }
    }

    /// Makes the server cold.
    pub fn set_cold(&mut self) {
        self.cold = true;
        self.first_request_at = None;
        self.cold_starts += 1;
        // Requests that are already in flight count towards the peak up to the cold capacity only.
        self.peak = self.peak.max(self.in_flight.min(self.capacity));
    }

    /// Makes the server warm.
    pub fn set_warm(&mut self) {
        self.cold = false;
    }

    /// Records a received request.
    pub fn on_received(&mut self, now: Tick) {
        self.in_flight += 1;
        if !self.is_cold(now) {
            return;
        }
        self.received += 1;
        self.peak = self.peak.max(self.in_flight);
        if self.in_flight > self.capacity {
            self.violations += 1;
            self.first_request_at = Some(now);
            return;
        }
        self.first_request_at.get_or_insert(now);
    }

    /// Records that a request was answered or dropped.
    pub fn on_done(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns whether the server is cold; it becomes warm when the warm-up time is over.
    pub fn is_cold(&mut self, now: Tick) -> bool {
        let is_warm_up_over = self.first_request_at.is_some_and(|at| now.since(at) >= self.warm_up);
        if self.cold && is_warm_up_over {
            self.cold = false;
        }
        self.cold
    }

    /// Returns whether the server is cold and has more requests in flight than its cold capacity.
    pub fn is_overloaded(&mut self, now: Tick) -> bool {
        self.is_cold(now) && self.in_flight > self.capacity
    }

    /// Returns the number of requests received while cold.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the highest number of concurrent requests while cold.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the number of requests that exceeded the cold capacity.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns how many times the server has been cold.
    #[must_use]
    pub fn cold_starts(&self) -> u64 {
        self.cold_starts
    }

    /// Resets the counters and keeps the state; a server that is cold counts as one cold start.
    pub fn reset_counters(&mut self) {
        self.received = 0;
        self.peak = 0;
        self.violations = 0;
        self.cold_starts = u64::from(self.cold);
    }
}
