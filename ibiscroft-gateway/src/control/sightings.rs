//! Word of targets that leave or serve again, and how it spreads.

use std::time::Duration;

use ibiscroft_core::ids::{InstanceName, RunId, TargetName};
use ibiscroft_core::leaving::StateReport;
use ibiscroft_wire::generated::peer::PeerMessage;
use ibiscroft_wire::generated::store::{InstanceEntryState, InstanceList};

use super::Control;
use crate::controllers::polls::PollEnd;

/// Interval at which the word of leaving targets is repeated.
const REMINDER_INTERVAL: Duration = Duration::from_secs(5);

impl Control {
    /// Takes the platform's list; targets that it lacks stay as they are.
    pub(super) fn on_instances(&mut self, list: &InstanceList) {
        let mut sightings = Vec::new();
        for service in &self.registers.configuration().services {
            for target in &service.targets {
                let address = target.address.to_string();
                let listed = list.instances.iter().find(|entry| entry.address == address);
                if let Some(entry) = listed {
                    let leaving = entry.state == InstanceEntryState::Leaving;
                    sightings.push((target.name.clone(), StateReport::InstanceList { leaving }));
                }
            }
        }
        for (target, sighting) in &sightings {
            self.on_sighting(target, sighting, None);
        }
    }

    /// Takes the answer to a poll; a target that serves again is announced to all peers.
    pub(super) fn on_polled(&mut self, end: &PollEnd) {
        self.polls.on_end(&end.target);
        let Some(sighting) = &end.sighting else {
            return;
        };
        self.on_sighting(&end.target, sighting, None);
        if let StateReport::Response { run, draining: false, .. } = sighting {
            self.peers.broadcast(&target_serving(&end.target, run));
        }
    }

    /// Takes what was seen of a target and passes news on to the neighbours.
    pub(super) fn on_sighting(
        &mut self,
        target: &TargetName,
        sighting: &StateReport,
        from: Option<&InstanceName>,
    ) {
        let now = self.shared.clock.now();
        let Some(run) = self.targets.on_sighting(target, sighting, now) else {
            return;
        };
        let message = target_leaving(target, &run);
        for to in self.registers.audience(from) {
            self.peers.send(&to, &message);
        }
    }

    /// Repeats the word of leaving targets, in case a peer missed it or knows that one is back.
    pub(super) fn remind(&mut self) {
        let now = self.shared.clock.now();
        if now < self.next_reminder {
            return;
        }
        self.next_reminder = now + REMINDER_INTERVAL;
        for (target, run) in self.targets.draining() {
            for to in self.registers.audience(None) {
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
