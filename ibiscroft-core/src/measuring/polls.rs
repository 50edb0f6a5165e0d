//! Which target to poll next, within the budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ownership::PollOwnership;
use crate::budget::TokenBucket;
use crate::ids::{PerSecond, TargetName};
use crate::{Tick, copy_data};

/// Window in which the budget of a target holds.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Longest time a poll takes; an unanswered one is given up.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without traffic after which a target is polled.
const QUIET: Duration = Duration::from_secs(2);
/// Share of the budget that the owner uses, as a divisor; the rest covers late polls of
/// earlier owners.
const OWNER_DIVISOR: u32 = 2;
/// Polls of one daemon at once.
const DAEMON_BURST: u32 = 4;

copy_data! {
    /// Polls counted since the start.
    #[derive(Default)]
    pub struct PollCounters {
        /// Polls sent.
        pub sent: u64,
        /// Polls given up without an answer.
        pub timed_out: u64,
        /// Times that the budget of the daemon put off a poll that was due.
        pub deferred: u64,
    }
}

#[derive(Debug)]
struct Polled {
    /// Time between polls by the owner, `None` for a budget of zero.
    interval: Option<Duration>,
    /// When the last poll ended, or the target became known.
    ended_at: Tick,
    sent_at: Option<Tick>,
    last_traffic: Tick,
}

/// Polls of one daemon.
///
/// Polls of a target are at least one interval apart, counted from the end of the earlier
/// one, so that a pause between decision and send never brings two close together.
#[derive(Debug)]
pub struct PollScheduler {
    targets: BTreeMap<TargetName, Polled>,
    daemon: TokenBucket,
    counters: PollCounters,
}

impl PollScheduler {
    /// Makes a state without targets; the daemon sends at most `rate` polls.
    #[must_use]
    pub fn new(rate: PerSecond) -> Self {
        let daemon = TokenBucket::new(rate, DAEMON_BURST);
        Self { targets: BTreeMap::new(), daemon, counters: PollCounters::default() }
    }

    /// Replaces the targets and their budgets; known targets keep their state.
    pub fn set_targets(
        &mut self,
        now: Tick,
        targets: impl IntoIterator<Item = (TargetName, PerSecond)>,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        for (name, budget) in targets {
            let mut polled = known.remove(&name).unwrap_or_else(|| Polled::new(now));
            polled.interval = interval(budget);
            self.targets.insert(name, polled);
        }
    }

    /// Notes that traffic reached `target`; it needs no poll for a while.
    pub fn note_traffic(&mut self, now: Tick, target: &TargetName) {
        if let Some(polled) = self.targets.get_mut(target) {
            polled.last_traffic = polled.last_traffic.max(now);
        }
    }

    /// Returns a target to poll at once, `None` when no poll is due or allowed.
    ///
    /// Targets that were not polled for longest come first. End the poll with
    /// [`PollScheduler::finish`]; after [`POLL_TIMEOUT`] it counts as given up and must not be
    /// sent any more.
    #[must_use]
    pub fn next_poll(&mut self, now: Tick, ownership: &mut PollOwnership) -> Option<TargetName> {
        self.give_up(now);
        let due = self.targets.iter().filter(|(_, polled)| polled.is_due(now));
        let owned = due.filter(|(name, _)| ownership.may_poll(now, name));
        let (name, _) = owned.min_by_key(|(_, polled)| polled.ended_at)?;
        if !self.daemon.try_take(now) {
            self.counters.deferred += 1;
            return None;
        }
        let name = name.clone();
        self.counters.sent += 1;
        self.targets.get_mut(&name)?.sent_at = Some(now);
        Some(name)
    }

    /// Notes that a poll ended, with or without an answer.
    pub fn finish(&mut self, now: Tick, target: &TargetName) {
        if let Some(polled) = self.targets.get_mut(target) {
            polled.end(now);
        }
    }

    /// Returns the counts of measuring requests.
    #[must_use]
    pub fn counters(&self) -> PollCounters {
        self.counters
    }

    fn give_up(&mut self, now: Tick) {
        for polled in self.targets.values_mut() {
            if polled.sent_at.is_some_and(|at| now.since(at) >= POLL_TIMEOUT) {
                polled.end(now);
                self.counters.timed_out += 1;
            }
        }
    }
}

impl Polled {
    fn new(now: Tick) -> Self {
        Self { interval: None, ended_at: now, sent_at: None, last_traffic: now }
    }

    fn end(&mut self, now: Tick) {
        self.sent_at = None;
        self.ended_at = now;
    }

    /// Returns whether traffic does not reach the target and its budget allows a poll.
    fn is_due(&self, now: Tick) -> bool {
        self.sent_at.is_none()
            && now.since(self.last_traffic) >= QUIET
            && self.interval.is_some_and(|interval| now >= self.ended_at + interval)
    }
}

/// Returns the time between polls by the owner, `None` for a budget of zero.
fn interval(budget: PerSecond) -> Option<Duration> {
    Duration::from_secs(u64::from(OWNER_DIVISOR)).checked_div(budget.get())
}
