//! Findings that are to be sent to other gateways.

use std::time::Duration;

use super::{FindingOrigin, HealthMessages, TargetFinding};
use crate::Tick;
use crate::fleet::hint::Hint;
use crate::ids::TargetName;

/// Rate at which own findings are sent; with the burst at most 10 in any second.
const OWN_FINDINGS_PER_S: f64 = 5.0;
/// Number of own findings that are sent at once.
const OWN_BURST: f64 = 5.0;
/// Minimum time between two messages. The queue of a follower holds 64 messages.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of findings in one message; about 10 KB.
const MAX_FINDINGS_PER_MESSAGE: usize = 128;
/// Maximum number of findings that wait in each direction.
const MAX_WAITING: usize = 1_024;
/// Time after which an own finding that a target cannot be reached is dropped if it could not be
/// sent, as the target may respond again by then.
const MAX_DOWN_AGE: Duration = Duration::from_millis(400);
/// The same for a finding that a target responds; the longest time for which it is tried last.
const MAX_UP_AGE: Duration = Duration::from_secs(4);

/// What a finding says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// The target cannot be reached.
    Down,
    /// The target responds.
    Up,
}

type Waiting = Vec<(Kind, TargetFinding)>;

/// Findings that wait for the next message.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    own: Vec<(Tick, Kind, TargetFinding)>,
    to_source: Waiting,
    to_followers: Waiting,
    /// Own findings sent recently; decreases over time.
    sent: f64,
    sent_at: Option<Tick>,
}

impl Outbox {
    /// Adds an own finding; replaces an earlier one about the same target.
    pub(super) fn push_own(&mut self, now: Tick, kind: Kind, finding: TargetFinding) {
        self.own.retain(|(_, _, waiting)| waiting.target != finding.target);
        if self.own.len() < MAX_WAITING {
            self.own.push((now, kind, finding));
        }
    }

    /// Removes an own finding that a target responds; returns whether there was one. Another gateway's
    /// finding is sent in its place.
    pub(super) fn remove_own_up(&mut self, target: &TargetName) -> bool {
        let count = self.own.len();
        self.own.retain(|(_, kind, waiting)| *kind != Kind::Up || waiting.target != *target);
        self.own.len() < count
    }

    /// Adds a finding of another gateway, for those that have not received it from its origin.
    pub(super) fn push_forwarded(
        &mut self,
        kind: Kind,
        origin: FindingOrigin,
        finding: TargetFinding,
    ) {
        if origin == FindingOrigin::Follower && self.to_source.len() < MAX_WAITING {
            self.to_source.push((kind, finding.clone()));
        }
        if self.to_followers.len() < MAX_WAITING {
            self.to_followers.push((kind, finding));
        }
    }

    /// Removes and returns what is due.
    pub(super) fn take(&mut self, now: Tick) -> Option<HealthMessages> {
        if self.sent_at.is_some_and(|at| now.since(at) < MESSAGE_INTERVAL) {
            return None;
        }
        self.own.retain(|(at, kind, _)| {
            let max_age = if *kind == Kind::Up { MAX_UP_AGE } else { MAX_DOWN_AGE };
            now.since(*at) < max_age
        });
        if self.own.is_empty() && self.to_source.is_empty() && self.to_followers.is_empty() {
            return None;
        }
        let elapsed = self.sent_at.map_or(Duration::ZERO, |at| now.since(at));
        self.sent = (self.sent - elapsed.as_secs_f64() * OWN_FINDINGS_PER_S).max(0.0);
        self.sent_at = Some(now);
        let allowed = (OWN_BURST - self.sent).max(0.0) as usize;
        // A withdrawal returns a target to use, which is more urgent.
        self.own.sort_by_key(|(_, kind, _)| *kind == Kind::Down);
        let own = self.own.drain(..allowed.min(self.own.len()));
        for (_, kind, finding) in own {
            self.sent += 1.0;
            self.to_source.push((kind, finding.clone()));
            self.to_followers.push((kind, finding));
        }
        Some(HealthMessages {
            to_source: take_hints(&mut self.to_source),
            to_followers: take_hints(&mut self.to_followers),
        })
    }
}

/// Removes the findings of one message; withdrawals come last, as they follow what they withdraw.
fn take_hints(waiting: &mut Waiting) -> Vec<Hint> {
    let count = waiting.len().min(MAX_FINDINGS_PER_MESSAGE);
    let (down, up): (Waiting, Waiting) =
        waiting.drain(..count).partition(|(kind, _)| *kind == Kind::Down);
    let findings = |list: Waiting| list.into_iter().map(|(_, finding)| finding).collect();
    let mut hints = Vec::new();
    if !down.is_empty() {
        hints.push(Hint::TargetDown(findings(down)));
    }
    if !up.is_empty() {
        hints.push(Hint::TargetUp(findings(up)));
    }
    hints
}
