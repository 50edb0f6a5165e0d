//! Draining: requests received after a backend server announced that it is draining.

use std::time::Duration;

use ibiscroft_core::Tick;

/// Whether the server is draining, and the requests that it has received since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    announced_at: Option<Tick>,
    received: u64,
    last_received_after: Duration,
}

impl Drain {
    /// Announces that the server is draining.
    pub fn announce(&mut self, now: Tick) {
        self.announced_at.get_or_insert(now);
    }

    /// Withdraws the announcement.
    pub fn withdraw(&mut self) {
        self.announced_at = None;
    }

    /// Returns whether the server is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.announced_at.is_some()
    }

    /// Records a received request.
    pub fn on_received(&mut self, now: Tick) {
        let Some(at) = self.announced_at else {
            return;
        };
        self.received += 1;
        self.last_received_after = now.since(at);
    }

    /// Returns the number of requests received after the announcement.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the time between the announcement and the last request received after it.
    #[must_use]
    pub fn last_received_after(&self) -> Duration {
        self.last_received_after
    }

    /// Resets the counters and keeps the state.
    pub fn reset_counters(&mut self) {
        self.received = 0;
        self.last_received_after = Duration::ZERO;
    }
}
