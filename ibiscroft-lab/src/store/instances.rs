//! The platform's instance list, which shows changes after a delay.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_wire::generated::store::InstanceList;

/// Instance lists with the time at which each was set, oldest first.
#[derive(Clone, Debug)]
pub(super) struct InstanceHistory {
    lag: Duration,
    changes: Vec<(Tick, InstanceList)>,
}

impl InstanceHistory {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, changes: Vec::new() }
    }

    pub(super) fn set(&mut self, list: InstanceList, now: Tick) {
        self.changes.push((now, list));
    }

    /// Returns the list that was current one lag before `now`, and drops the lists before it. The
    /// list is empty if none had been set by then.
    pub(super) fn visible(&mut self, now: Tick) -> InstanceList {
        let visible_count = self.changes.partition_point(|(at, _)| *at + self.lag <= now);
        if visible_count == 0 {
            return InstanceList { instances: Vec::new() };
        }
        self.changes.drain(..visible_count - 1);
        self.changes[0].1.clone()
    }
}
