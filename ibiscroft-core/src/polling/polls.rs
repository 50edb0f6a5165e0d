//! Decides which target to poll next, within the budgets of targets and gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ownership::PollOwnership;
use crate::budget::TokenBucket;
use crate::ids::{PerSecond, TargetName};
use crate::{Tick, copy_data};

/// Window to which the budget of a target applies.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time after which a poll without a response is abandoned.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without calls after which a target is polled.
const CALL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Divisor of a target's budget that yields the part the owner uses.
///
/// The rest covers late polls of previous owners.
const OWNER_BUDGET_DIVISOR: u32 = 2;
/// Largest number of polls that a gateway sends at once.
const GATEWAY_BURST: u32 = 4;

copy_data! {
    /// Counters of polls since the start of the gateway.
    #[derive(Default)]
    pub struct PollCounters {
        /// Polls sent.
        pub sent: u64,
        /// Polls abandoned without a response.
        pub timed_out: u64,
        /// Times that the budget of the gateway deferred a poll that was due.
        pub deferred: u64,
    }
}

/// Polls of one target.
#[derive(Debug)]
struct TargetPolls {
    /// Time between two polls by the owner, or `None` for a budget of zero.
    interval: Option<Duration>,
    /// When the last poll ended, or the target was added.
    ended_at: Tick,
    /// When the open poll was sent.
    sent_at: Option<Tick>,
    /// When a call last reached the target, or the target was added.
    last_call: Tick,
}

/// Schedules the polls of one gateway.
///
/// A poll of a target is sent at the earliest one interval after the end of the previous one. A
/// pause of the gateway between the decision to poll and the send therefore never brings two polls
/// close together.
#[derive(Debug)]
pub struct PollScheduler {
    targets: BTreeMap<TargetName, TargetPolls>,
    gateway_budget: TokenBucket,
    counters: PollCounters,
}

impl PollScheduler {
    /// Creates a scheduler without targets for a gateway that may send `rate` polls per second.
    #[must_use]
    pub fn new(rate: PerSecond) -> Self {
        let gateway_budget = TokenBucket::new(rate, GATEWAY_BURST);
        Self { targets: BTreeMap::new(), gateway_budget, counters: PollCounters::default() }
    }

    /// Replaces the targets and their budgets; targets that were present keep their state.
    pub fn set_targets(
        &mut self,
        now: Tick,
        targets: impl IntoIterator<Item = (TargetName, PerSecond)>,
    ) {
        let mut previous = std::mem::take(&mut self.targets);
        for (name, budget) in targets {
            let mut polls = previous.remove(&name).unwrap_or_else(|| TargetPolls::new(now));
            polls.interval = interval(budget);
            self.targets.insert(name, polls);
        }
    }

    /// Notes that a call reached `target`, which needs no poll for some time.
    pub fn on_call(&mut self, now: Tick, target: &TargetName) {
        if let Some(polls) = self.targets.get_mut(target) {
            polls.last_call = polls.last_call.max(now);
        }
    }

    /// Returns a target to poll immediately, or `None` when no poll is due or allowed.
    ///
    /// Chooses the target whose last poll ended first. Call [`PollScheduler::finish`] when the poll
    /// ends. After [`POLL_TIMEOUT`] the poll counts as abandoned and must not be sent any more.
    #[must_use]
    pub fn next_poll(&mut self, now: Tick, ownership: &mut PollOwnership) -> Option<TargetName> {
        self.abandon_overdue_polls(now);
        let due = self.targets.iter().filter(|(_, polls)| polls.is_due(now));
        let owned = due.filter(|(name, _)| ownership.may_poll(now, name));
        let (name, _) = owned.min_by_key(|(_, polls)| polls.ended_at)?;
        if !self.gateway_budget.try_take(now) {
            self.counters.deferred += 1;
            return None;
        }
        let name = name.clone();
        self.counters.sent += 1;
        self.targets.get_mut(&name)?.sent_at = Some(now);
        Some(name)
    }

    /// Notes that a poll ended, with or without a response.
    pub fn finish(&mut self, now: Tick, target: &TargetName) {
        if let Some(polls) = self.targets.get_mut(target) {
            polls.end(now);
        }
    }

    /// Returns the counters of polls.
    #[must_use]
    pub fn counters(&self) -> PollCounters {
        self.counters
    }

    /// Ends the polls that were sent [`POLL_TIMEOUT`] ago or earlier.
    fn abandon_overdue_polls(&mut self, now: Tick) {
        for polls in self.targets.values_mut() {
            if polls.sent_at.is_some_and(|at| now.since(at) >= POLL_TIMEOUT) {
                polls.end(now);
                self.counters.timed_out += 1;
            }
        }
    }
}

impl TargetPolls {
    fn new(now: Tick) -> Self {
        Self { interval: None, ended_at: now, sent_at: None, last_call: now }
    }

    fn end(&mut self, now: Tick) {
        self.sent_at = None;
        self.ended_at = now;
    }

    /// Returns whether no poll is open, no calls reach the target, and its budget allows a poll.
    fn is_due(&self, now: Tick) -> bool {
        self.sent_at.is_none()
            && now.since(self.last_call) >= CALL_IDLE_TIMEOUT
            && self.interval.is_some_and(|interval| now >= self.ended_at + interval)
    }
}

/// Returns the time between two polls by the owner, or `None` for a budget of zero.
fn interval(budget: PerSecond) -> Option<Duration> {
    Duration::from_secs(u64::from(OWNER_BUDGET_DIVISOR)).checked_div(budget.get())
}
