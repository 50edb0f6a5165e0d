//! Targets that are leaving and must not receive new work.
//!
//! A target is leaving when its own response reports that it drains, when a peer forwards such a
//! report, or when the platform's instance list shows it as leaving. Each cause ends only by
//! evidence of its own. The instance list lags behind, so it never ends a drain that the target
//! itself reported.

use std::collections::HashMap;

use crate::data;
use crate::ids::{RunId, TargetName};
use crate::time::Tick;

data! {
    /// A report about the state of a target.
    pub enum StateReport {
        /// A response of the target to a call or a poll of this gateway or of a peer.
        Response {
            /// Process run that responded.
            run: RunId,
            /// Whether the response reports that the target drains.
            draining: bool,
            /// When the request was sent.
            sent_at: Tick,
        },
        /// A notification of a peer that this run drains.
        PeerNotification {
            /// Process run that drains.
            run: RunId,
        },
        /// The current entry of the platform's instance list.
        InstanceList {
            /// Whether the target is listed as leaving.
            leaving: bool,
        },
    }

    /// A reason for which a target is leaving.
    struct Cause {
        /// When the cause was first reported.
        since: Tick,
        /// Process run that it concerns, if known.
        run: Option<RunId>,
    }

    /// What is known of one target.
    #[derive(Default)]
    struct TargetInfo {
        /// The target or a peer reported that it drains.
        drain: Option<Cause>,
        /// The instance list shows it as leaving.
        listed: Option<Cause>,
        /// Whether the last instance list showed it as leaving.
        was_listed: bool,
        /// Run that last reported a drain, or served while the target was not leaving.
        run: Option<RunId>,
        /// Run that drained and has been replaced by another one.
        replaced_run: Option<RunId>,
    }
}

/// Tracks which targets are leaving.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::ids::{RunId, TargetName};
/// use ibiscroft_core::leaving::{LeavingTargets, StateReport};
///
/// let mut leaving = LeavingTargets::default();
/// let target = TargetName::new("register-01");
/// let run = RunId::new("run-1");
/// let report = StateReport::PeerNotification { run: run.clone() };
/// assert_eq!(leaving.on_state_report(&target, &report, Tick::ZERO), Some(run));
/// assert!(leaving.is_leaving(&target));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    targets: HashMap<TargetName, TargetInfo>,
}

impl LeavingTargets {
    /// Returns whether `target` is leaving and must not receive new work.
    #[must_use]
    pub fn is_leaving(&self, target: &TargetName) -> bool {
        self.targets.get(target).is_some_and(TargetInfo::is_leaving)
    }

    /// Returns the run of `target` that is known to serve, or `None` while the target is leaving.
    #[must_use]
    pub fn serving_run(&self, target: &TargetName) -> Option<&RunId> {
        let info = self.targets.get(target)?;
        info.run.as_ref().filter(|_| !info.is_leaving())
    }

    /// Returns the targets that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &TargetName> {
        self.targets.iter().filter(|(_, info)| info.is_leaving()).map(|(name, _)| name)
    }

    /// Returns the draining targets with the run that drains, to notify a peer that has just
    /// connected and to repeat earlier notifications.
    pub fn draining(&self) -> impl Iterator<Item = (&TargetName, &RunId)> {
        self.targets.iter().filter_map(|(name, info)| {
            let run = info.drain.as_ref()?.run.as_ref()?;
            Some((name, run))
        })
    }

    /// Removes the targets that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|name, _| is_configured(name));
    }

    /// Handles a report about a target.
    ///
    /// Returns the draining run if it was not known to drain. The gateway must then notify its
    /// peers.
    pub fn on_state_report(
        &mut self,
        target: &TargetName,
        report: &StateReport,
        now: Tick,
    ) -> Option<RunId> {
        let info = self.targets.entry(target.clone()).or_default();
        match report {
            StateReport::Response { run, draining: true, .. } => info.on_draining(run, now),
            StateReport::PeerNotification { run } => info.on_peer_notification(run, now),
            StateReport::Response { run, draining: false, sent_at } => {
                info.on_serving(run, *sent_at);
                None
            }
            StateReport::InstanceList { leaving } => {
                info.on_listed(*leaving, now);
                None
            }
        }
    }
}

impl TargetInfo {
    fn is_leaving(&self) -> bool {
        self.drain.is_some() || self.listed.is_some()
    }

    fn on_draining(&mut self, run: &RunId, now: Tick) -> Option<RunId> {
        if self.replaced_run.as_ref() == Some(run) {
            return None;
        }
        self.run = Some(run.clone());
        self.mark_drain(run, now)
    }

    /// Ignores a notification of a run that has been replaced since.
    fn on_peer_notification(&mut self, run: &RunId, now: Tick) -> Option<RunId> {
        if self.replaced_run.as_ref() == Some(run) {
            return None;
        }
        self.mark_drain(run, now)
    }

    fn mark_drain(&mut self, run: &RunId, now: Tick) -> Option<RunId> {
        let is_known = self.drain.as_ref().is_some_and(|cause| cause.run.as_ref() == Some(run));
        if is_known {
            return None;
        }
        self.drain = Some(Cause { since: now, run: Some(run.clone()) });
        Some(run.clone())
    }

    /// Ends the causes that a response of a serving run refutes.
    ///
    /// A response counts only if its request was sent after the cause was reported. It ends a drain
    /// in any case, but a listing only if it comes from another run than the listed one.
    fn on_serving(&mut self, run: &RunId, sent_at: Tick) {
        let is_refuted = |cause: &Cause| sent_at > cause.since;
        let is_replaced = |cause: &Cause| {
            sent_at > cause.since && cause.run.as_ref().is_some_and(|old| old != run)
        };
        if let Some(cause) = self.drain.take_if(|cause| is_refuted(cause)) {
            self.replaced_run = cause.run.filter(|old| old != run);
        }
        self.listed.take_if(|cause| is_replaced(cause));
        if !self.is_leaving() {
            self.run = Some(run.clone());
        }
    }

    /// Handles only changes of the instance list, which may lag behind a replaced process.
    fn on_listed(&mut self, leaving: bool, now: Tick) {
        if leaving && !self.was_listed {
            self.listed = Some(Cause { since: now, run: self.run.clone() });
        }
        if !leaving {
            self.listed = None;
        }
        self.was_listed = leaving;
    }
}
