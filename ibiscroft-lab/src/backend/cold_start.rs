//! Cold start: what a backend server bears until it has had traffic for a while.

use std::time::Duration;

use ibiscroft_core::Tick;

/// Cold state and what was received in it.
///
/// The warm-up begins with the first request. A request above what the server bears begins it
/// again.
#[derive(Clone, Debug)]
pub struct ColdStart {
    bears: usize,
    warm_up: Duration,
    cold: bool,
    first_request_at: Option<Tick>,
    in_flight: usize,
    received: u64,
    peak: usize,
    violations: u64,
    times: u64,
}

impl ColdStart {
    /// A server that bears `bears` requests at once until it is warm; a zero warm-up means warm.
    #[must_use]
    pub fn new(bears: usize, warm_up: Duration) -> Self {
        let cold = !warm_up.is_zero();
        Self {
            bears,
            warm_up,
            cold,
            first_request_at: None,
            in_flight: 0,
            received: 0,
            peak: 0,
            violations: 0,
            times: u64::from(cold),
        }
    }

    /// Falls back into cold start.
    pub fn cool(&mut self) {
        self.cold = true;
        self.first_request_at = None;
        self.times += 1;
        self.peak = self.peak.max(self.in_flight.min(self.bears));
    }

    /// Ends cold start.
    pub fn warm(&mut self) {
        self.cold = false;
    }

    /// A request arrived.
    pub fn on_received(&mut self, now: Tick) {
        self.in_flight += 1;
        if !self.is_cold(now) {
            return;
        }
        self.received += 1;
        self.peak = self.peak.max(self.in_flight);
        if self.in_flight > self.bears {
            self.violations += 1;
            self.first_request_at = Some(now);
            return;
        }
        self.first_request_at.get_or_insert(now);
    }

    /// A request was answered or dropped.
    pub fn on_done(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns whether the server is cold, and ends cold start when the warm-up is over.
    pub fn is_cold(&mut self, now: Tick) -> bool {
        let warmed = self.first_request_at.is_some_and(|at| now.since(at) >= self.warm_up);
        if self.cold && warmed {
            self.cold = false;
        }
        self.cold
    }

    /// Returns whether the server is cold and has more requests than it bears.
    pub fn is_overloaded(&mut self, now: Tick) -> bool {
        self.is_cold(now) && self.in_flight > self.bears
    }

    /// Returns the requests received while cold.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the most requests at once while cold.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the requests received above what the server bears.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns how often the server was in cold start.
    #[must_use]
    pub fn times(&self) -> u64 {
        self.times
    }

    /// Sets the counters to zero and keeps the state.
    pub fn reset_counters(&mut self) {
        self.received = 0;
        self.peak = 0;
        self.violations = 0;
        self.times = u64::from(self.cold);
    }
}
