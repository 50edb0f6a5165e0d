//! Targets that start leaving.
//!
//! A target leaves when it says so itself, when a peer passes its word on, or when the platform's
//! list says so. Each cause ends only by a proof of its own; the platform's list lags and never
//! brings back a target that said that it leaves.

use std::collections::HashMap;

use crate::data;
use crate::ids::{RunId, TargetName};
use crate::time::Tick;

data! {
    /// What was seen of a target.
    pub enum StateReport {
        /// An answer, or a health answer, to a request sent at `sent_at`.
        Response {
            /// Process run that answered.
            run: RunId,
            /// Whether it said that it drains.
            draining: bool,
            /// When the request was sent.
            sent_at: Tick,
        },
        /// A peer passed on that this run drains.
        PeerNotification {
            /// Process run that drains.
            run: RunId,
        },
        /// What the platform's list says now.
        InstanceList {
            /// Whether it is listed as leaving.
            leaving: bool,
        },
    }

    /// A cause with the instant since which it holds.
    struct Mark {
        since: Tick,
        run: Option<RunId>,
    }

    /// What is known of one target.
    #[derive(Default)]
    struct Departure {
        drain: Option<Mark>,
        listed: Option<Mark>,
        is_listed: bool,
        run: Option<RunId>,
        ended_run: Option<RunId>,
    }
}

/// Which targets are leaving.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::ids::{RunId, TargetName};
/// use ibiscroft_core::leaving::{LeavingTargets, StateReport};
///
/// let mut leaving = LeavingTargets::default();
/// let target = TargetName::new("register-01");
/// let run = RunId::new("run-1");
/// let news = leaving.on_state_report(&target, &StateReport::PeerNotification { run: run.clone() }, Tick::ZERO);
/// assert_eq!(news, Some(run));
/// assert!(leaving.is_leaving(&target));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    departures: HashMap<TargetName, Departure>,
}

impl LeavingTargets {
    /// Returns whether `target` may not receive new work.
    #[must_use]
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        self.departures.get(target).is_some_and(Departure::is_leaving)
    }

    /// Returns the run that proved that a target serves, unless it is leaving.
    #[must_use]
    pub fn serving_run(&self, target: &TargetName) -> Option<&RunId> {
        let departure = self.departures.get(target)?;
        departure.run.as_ref().filter(|_| !departure.is_leaving())
    }

    /// Returns the targets that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &TargetName> {
        self.departures.iter().filter(|(_, departure)| departure.is_leaving()).map(|(name, _)| name)
    }

    /// Returns the runs that said that they drain, for a peer that just connected.
    pub fn draining(&self) -> impl Iterator<Item = (&TargetName, &RunId)> {
        self.departures.iter().filter_map(|(name, departure)| {
            let run = departure.drain.as_ref()?.run.as_ref()?;
            Some((name, run))
        })
    }

    /// Forgets targets that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&TargetName) -> bool) {
        self.departures.retain(|name, _| is_configured(name));
    }

    /// Takes what was seen of a target; returns the draining run when peers have to be told.
    pub fn on_state_report(
        &mut self,
        target: &TargetName,
        report: &StateReport,
        now: Tick,
    ) -> Option<RunId> {
        let departure = self.departures.entry(target.clone()).or_default();
        match report {
            StateReport::Response { run, draining: true, .. } => departure.on_draining(run, now),
            StateReport::PeerNotification { run } => departure.on_peer_word(run, now),
            StateReport::Response { run, draining: false, sent_at } => {
                departure.on_serving(run, *sent_at);
                None
            }
            StateReport::InstanceList { leaving } => {
                departure.on_listed(*leaving, now);
                None
            }
        }
    }
}

impl Departure {
    fn is_leaving(&self) -> bool {
        self.drain.is_some() || self.listed.is_some()
    }

    fn on_draining(&mut self, run: &RunId, now: Tick) -> Option<RunId> {
        if self.ended_run.as_ref() == Some(run) {
            return None;
        }
        self.run = Some(run.clone());
        self.mark_drain(run, now)
    }

    /// Word of a run that was since replaced is out of date.
    fn on_peer_word(&mut self, run: &RunId, now: Tick) -> Option<RunId> {
        if self.ended_run.as_ref() == Some(run) {
            return None;
        }
        self.mark_drain(run, now)
    }

    fn mark_drain(&mut self, run: &RunId, now: Tick) -> Option<RunId> {
        let is_known = self.drain.as_ref().is_some_and(|mark| mark.run.as_ref() == Some(run));
        if is_known {
            return None;
        }
        self.drain = Some(Mark { since: now, run: Some(run.clone()) });
        Some(run.clone())
    }

    /// Ends the causes that an answer disproves.
    ///
    /// Only an answer to a request sent after a cause began says anything about it.
    fn on_serving(&mut self, run: &RunId, sent_at: Tick) {
        let is_disproved = |mark: &Mark| sent_at > mark.since;
        let is_replaced =
            |mark: &Mark| sent_at > mark.since && mark.run.as_ref().is_some_and(|old| old != run);
        if let Some(mark) = self.drain.take_if(|mark| is_disproved(mark)) {
            self.ended_run = mark.run.filter(|old| old != run);
        }
        self.listed.take_if(|mark| is_replaced(mark));
        if !self.is_leaving() {
            self.run = Some(run.clone());
        }
    }

    /// Takes the platform's list by its changes, as it may lag behind a replaced process.
    fn on_listed(&mut self, leaving: bool, now: Tick) {
        if leaving && !self.is_listed {
            self.listed = Some(Mark { since: now, run: self.run.clone() });
        }
        if !leaving {
            self.listed = None;
        }
        self.is_listed = leaving;
    }
}
