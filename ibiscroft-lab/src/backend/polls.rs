//! Polls of load and health, which are counted apart from other requests.

use std::collections::VecDeque;
use std::time::Duration;

use ibiscroft_core::Tick;

/// Window of the peak rate.
const WINDOW: Duration = Duration::from_secs(1);

/// Numbers of polls, and the highest number within one second.
#[derive(Clone, Debug, Default)]
pub(super) struct Polls {
    pub(super) load: u64,
    pub(super) health: u64,
    pub(super) peak_per_second: usize,
    recent: VecDeque<Tick>,
}

impl Polls {
    pub(super) fn record_load_poll(&mut self, now: Tick) {
        self.load += 1;
        self.count(now);
    }

    pub(super) fn record_health_poll(&mut self, now: Tick) {
        self.health += 1;
        self.count(now);
    }

    fn count(&mut self, now: Tick) {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.recent.pop_front();
        }
        self.peak_per_second = self.peak_per_second.max(self.recent.len());
    }
}
