//! Leaving: requests received after a backend server announced that it leaves.

use std::time::Duration;

use ibiscroft_core::Tick;

/// Whether the server leaves, and what it received since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    announced_at: Option<Tick>,
    received: u64,
    last_after: Duration,
}

impl Drain {
    /// Announces that the server leaves.
    pub fn announce(&mut self, now: Tick) {
        self.announced_at.get_or_insert(now);
    }

    /// Takes the announcement back.
    pub fn withdraw(&mut self) {
        self.announced_at = None;
    }

    /// Returns whether the server leaves.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.announced_at.is_some()
    }

    /// A request arrived.
    pub fn on_received(&mut self, now: Tick) {
        let Some(at) = self.announced_at else {
            return;
        };
        self.received += 1;
        self.last_after = now.since(at);
    }

    /// Returns the requests received after the announcement.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns how long after the announcement the last request arrived.
    #[must_use]
    pub fn last_after(&self) -> Duration {
        self.last_after
    }

    /// Sets the counters to zero and keeps the state.
    pub fn reset_counters(&mut self) {
        self.received = 0;
        self.last_after = Duration::ZERO;
    }
}
