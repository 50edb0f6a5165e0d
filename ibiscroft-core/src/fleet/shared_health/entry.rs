//! Findings about one run of a target.

use std::time::Duration;

use crate::Tick;
use crate::fleet::target::Incarnation;
use crate::ids::InstanceName;

/// Time for which a target is tried last, by the number of confirmations.
const PERIODS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(4)];
/// Time in which the reports of different gateways count together.
const REPORT_RETENTION: Duration = Duration::from_secs(2);
/// Number of other gateways whose reports make a target tried last. One alone may be cut off.
const REQUIRED_REPORTERS: usize = 2;
/// Maximum number of reporters that are kept and whose reports are forwarded.
const MAX_REPORTERS: usize = 4;
/// Time in which a repeated report of a gateway is an echo by another path of the mesh.
const ECHO_TIME: Duration = Duration::from_millis(400);
/// Time for which a finding of this gateway supports the reports of others.
const OWN_RETENTION: Duration = Duration::from_secs(4);
/// Time after the end of a period in which the next one is longer.
const MEMORY: Duration = Duration::from_secs(4);

/// Why a target is tried last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// It is not.
    None,
    /// This gateway has found that it cannot be reached.
    Found,
    /// Only others have reported it.
    Reported,
}

/// Whether a report is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// It is new; other gateways need it.
    New,
    /// It is known already, outdated, or enough others have reported the same.
    Known,
}

/// Findings about one run of a target.
#[derive(Debug)]
pub(super) struct Entry {
    incarnation: Incarnation,
    own_at: Option<Tick>,
    reporters: Vec<(InstanceName, Tick)>,
    /// Start and end of the current or latest period.
    since: Tick,
    until: Tick,
    /// Index into `PERIODS`.
    level: usize,
    /// Number of the period, by which the gateways that try the target are chosen.
    period: u32,
    /// Latest interval of this period in which this gateway has tried the target.
    tried_interval: u32,
    /// Whether reports without an own finding are believed.
    is_believed: bool,
    withdrawn_at: Option<Tick>,
    /// End of the time after a withdrawal in which this gateway still tries the target last.
    returns_at: Tick,
}

impl Entry {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            own_at: None,
            reporters: Vec::new(),
            since: Tick::ZERO,
            until: Tick::ZERO,
            level: 0,
            period: 0,
            tried_interval: 0,
            is_believed: false,
            withdrawn_at: None,
            returns_at: Tick::ZERO,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(super) fn period(&self) -> u32 {
        self.period
    }

    pub(super) fn period_length(&self) -> Duration {
        PERIODS[self.level]
    }

    pub(super) fn was_withdrawn_within(&self, now: Tick, time: Duration) -> bool {
        self.withdrawn_at.is_some_and(|at| now.since(at) < time)
    }

    pub(super) fn is_active(&self, now: Tick) -> bool {
        now < self.until
    }

    pub(super) fn active_for(&self, now: Tick) -> Duration {
        now.since(self.since)
    }

    /// Returns whether there is something to withdraw.
    pub(super) fn has_findings(&self, now: Tick) -> bool {
        self.is_active(now) || self.own_at.is_some() || !self.reporters.is_empty()
    }

    pub(super) fn activity(&self, now: Tick) -> Activity {
        if !self.is_active(now) {
            return Activity::None;
        }
        match self.own_at {
            Some(at) if now.since(at) < OWN_RETENTION => Activity::Found,
            _ => Activity::Reported,
        }
    }

    pub(super) fn is_tried_last(&self, now: Tick) -> bool {
        let is_believed = match self.activity(now) {
            Activity::None => false,
            Activity::Found => true,
            Activity::Reported => self.is_believed,
        };
        is_believed || now < self.returns_at
    }

    pub(super) fn set_believed(&mut self, is_believed: bool) {
        self.is_believed = is_believed;
    }

    /// Returns whether nothing of the entry is needed any more.
    pub(super) fn is_expired(&self, now: Tick) -> bool {
        let is_reported = self.reporters.iter().any(|(_, at)| now.since(*at) < REPORT_RETENTION);
        let is_withdrawn = self.withdrawn_at.is_some_and(|at| now.since(at) < ECHO_TIME);
        let is_remembered = now.since(self.until) < MEMORY && self.until > Tick::ZERO;
        !is_reported && !is_withdrawn && !is_remembered && now >= self.returns_at
    }

    /// Marks the interval as tried; returns whether it was not before.
    pub(super) fn start_trial(&mut self, interval: u32) -> bool {
        let is_new = interval > self.tried_interval;
        self.tried_interval = self.tried_interval.max(interval);
        is_new
    }

    /// Records a finding of this gateway; returns whether others need it.
    pub(super) fn note_own(&mut self, now: Tick) -> bool {
        self.own_at = Some(now);
        self.prune(now);
        let has_confirmed = self.confirm(now);
        has_confirmed || self.reporters.len() < REQUIRED_REPORTERS
    }

    /// Records a report of another gateway.
    pub(super) fn note_report(&mut self, now: Tick, gateway: &InstanceName) -> Taken {
        self.prune(now);
        // A report that was under way when the target was found to respond is outdated.
        if self.withdrawn_at.is_some_and(|at| now.since(at) < ECHO_TIME) {
            return Taken::Known;
        }
        if let Some((_, at)) = self.reporters.iter_mut().find(|(name, _)| name == gateway) {
            if now.since(*at) < ECHO_TIME {
                return Taken::Known;
            }
            *at = now;
        } else if self.reporters.len() < MAX_REPORTERS {
            self.reporters.push((gateway.clone(), now));
        } else if self.can_extend(now) {
            self.reporters.remove(0);
            self.reporters.push((gateway.clone(), now));
        } else {
            return Taken::Known;
        }
        if self.is_active(now) || self.reporters.len() >= REQUIRED_REPORTERS {
            self.confirm(now);
        }
        Taken::New
    }

    /// Records a response of a target that is not active; reports of others stay.
    pub(super) fn end_return(&mut self, now: Tick) {
        self.returns_at = self.returns_at.min(now);
        self.own_at = None;
    }

    /// Removes all findings; this gateway returns to the target after `delay`.
    pub(super) fn withdraw(&mut self, now: Tick, delay: Duration) {
        if self.is_active(now) {
            self.returns_at = now + delay;
            self.until = now;
        }
        self.own_at = None;
        self.reporters.clear();
        self.level = 0;
        self.is_believed = false;
        self.withdrawn_at = Some(now);
    }

    fn prune(&mut self, now: Tick) {
        self.reporters.retain(|(_, at)| now.since(*at) < REPORT_RETENTION);
    }

    /// Returns whether a finding at this time starts a period or extends it. Findings in the first
    /// quarter of a period tell of the same failure.
    fn can_extend(&self, now: Tick) -> bool {
        !self.is_active(now) || now >= self.since + PERIODS[self.level] / 4
    }

    /// Starts a period or extends it; returns whether it did.
    ///
    /// Only findings that others confirm make periods longer: a gateway that alone cannot reach a
    /// target tries again after the shortest time. One other is enough while a period lasts.
    fn confirm(&mut self, now: Tick) -> bool {
        if !self.can_extend(now) {
            return false;
        }
        let required = if self.is_active(now) { 1 } else { REQUIRED_REPORTERS };
        let is_confirmed = self.reporters.len() >= required;
        let is_first = self.period == 0 || self.withdrawn_at.is_some_and(|at| at >= self.until);
        self.level = match (is_confirmed, is_first || now.since(self.until) >= MEMORY) {
            (true, false) => (self.level + 1).min(PERIODS.len() - 1),
            _ => 0,
        };
        if !self.is_active(now) {
            self.is_believed = false;
        }
        self.since = now;
        self.until = now + PERIODS[self.level];
        self.period += 1;
        self.tried_interval = 0;
        self.returns_at = Tick::ZERO;
        true
    }
}
