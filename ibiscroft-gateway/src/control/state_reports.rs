//! Handling of reports that targets are leaving or serve again, and notification of peers.

use std::time::Duration;

use ibiscroft_core::ids::{InstanceName, RunId, TargetName};
use ibiscroft_core::leaving::StateReport;
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::generated::store::{InstanceEntryState, InstanceList};

use super::Control;
use crate::controllers::polls::PollResult;

/// Interval at which the notifications of leaving targets are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

impl Control {
    /// Handles the platform's list of instances; targets that are not listed do not change.
    pub(super) fn on_instances(&mut self, list: &InstanceList) {
        let mut reports = Vec::new();
        for service in &self.registers.configuration().services {
            for target in &service.targets {
                let address = target.address.to_string();
                let listed = list.instances.iter().find(|entry| entry.address == address);
                if let Some(entry) = listed {
                    let leaving = entry.state == InstanceEntryState::Leaving;
                    reports.push((target.name.clone(), StateReport::InstanceList { leaving }));
                }
            }
        }
        for (target, report) in &reports {
            self.on_state_report(target, report, None);
        }
    }

    /// Handles the result of a poll; notifies all peers if the target serves again.
    pub(super) fn on_polled(&mut self, result: &PollResult) {
        self.polls.on_poll_ended(&result.target);
        let Some(report) = &result.report else {
            return;
        };
        self.on_state_report(&result.target, report, None);
        if let StateReport::Response { run, draining: false, .. } = report {
            self.peers.broadcast(&target_serving(&result.target, run));
        }
    }

    /// Handles a report about the state of a target, which came from the peer `from` if there is
    /// one.
    ///
    /// If the target was not known to drain, notifies the gossip neighbours except `from`.
    pub(super) fn on_state_report(
        &mut self,
        target: &TargetName,
        report: &StateReport,
        from: Option<&InstanceName>,
    ) {
        let now = self.shared.clock.now();
        let Some(run) = self.targets.on_state_report(target, report, now) else {
            return;
        };
        let message = target_leaving(target, &run);
        for to in self.registers.neighbours_except(from) {
            self.peers.send(&to, &message);
        }
    }

    /// Repeats the notifications of leaving targets when they are due.
    ///
    /// A peer may have missed an earlier one, or it knows that a target serves again and then
    /// replies with a notification of that.
    pub(super) fn repeat_notifications(&mut self) {
        let now = self.shared.clock.now();
        if now < self.next_notification_repeat {
            return;
        }
        self.next_notification_repeat = now + REPEAT_INTERVAL;
        for (target, run) in self.targets.draining() {
            for to in self.registers.neighbours_except(None) {
                self.peers.send(&to, &target_leaving(target, run));
            }
        }
    }
}

pub(super) fn target_leaving(target: &TargetName, run: &RunId) -> PeerMessage {
    PeerMessage::TargetLeaving { target: target.to_string(), run: run.to_string() }
}

pub(super) fn target_serving(target: &TargetName, run: &RunId) -> PeerMessage {
    PeerMessage::TargetServing { target: target.to_string(), run: run.to_string() }
}
