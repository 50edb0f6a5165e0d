//! Measuring requests, counted apart from work.

use std::collections::VecDeque;
use std::time::Duration;

use ibiscroft_core::Tick;

const WINDOW: Duration = Duration::from_secs(1);

/// Counts polls and their peak in any second.
#[derive(Clone, Debug, Default)]
pub(super) struct Polls {
    pub(super) load: u64,
    pub(super) health: u64,
    pub(super) peak_per_second: usize,
    recent: VecDeque<Tick>,
}

impl Polls {
    pub(super) fn on_load(&mut self, now: Tick) {
        self.load += 1;
        self.count(now);
    }

    pub(super) fn on_health(&mut self, now: Tick) {
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
