//! The platform's instance list, which shows each change late.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_wire::generated::store::InstanceList;

/// Lists with the instant they were set at.
#[derive(Clone, Debug)]
pub(super) struct Instances {
    lag: Duration,
    changes: Vec<(Tick, InstanceList)>,
}

impl Instances {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, changes: Vec::new() }
    }

    pub(super) fn set(&mut self, list: InstanceList, now: Tick) {
        self.changes.push((now, list));
    }

    /// Returns the list as it was a lag ago, and forgets older ones.
    pub(super) fn visible(&mut self, now: Tick) -> InstanceList {
        let due = self.changes.partition_point(|(at, _)| *at + self.lag <= now);
        if due == 0 {
            return InstanceList { instances: Vec::new() };
        }
        self.changes.drain(..due - 1);
        self.changes[0].1.clone()
    }
}
