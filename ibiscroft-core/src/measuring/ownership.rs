//! Which gateway may poll a target.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::polls::POLL_TIMEOUT;
use crate::Tick;
use crate::ids::{InstanceName, TargetName};
use crate::rendezvous;

/// Time for which a confirmed view of the roster allows polls.
pub const VIEW_VALID: Duration = Duration::from_secs(5);
/// Time that a new owner waits, so that the old one's view and last poll have ended.
///
/// It leaves a tenth of [`VIEW_VALID`] for clocks that run at different rates.
pub const HANDOVER: Duration = Duration::from_millis(
    VIEW_VALID.as_millis() as u64 * 11 / 10 + POLL_TIMEOUT.as_millis() as u64,
);

/// This gateway's view of the roster, and since when it owns targets under it.
///
/// Any two gateways that may poll the same target at the same time would both hold a view
/// confirmed within [`VIEW_VALID`] that makes them the owner. The later one came to own the
/// target by a change of the roster that the earlier one's view does not show, and waits
/// [`HANDOVER`] from when it saw the change.
#[derive(Debug)]
pub struct PollOwnership {
    me: InstanceName,
    members: Vec<InstanceName>,
    confirmed_at: Option<Tick>,
    owned_since: FxHashMap<TargetName, Tick>,
}

impl PollOwnership {
    /// Makes a view that owns nothing.
    #[must_use]
    pub fn new(me: InstanceName) -> Self {
        let owned_since = FxHashMap::default();
        Self { me, members: Vec::new(), confirmed_at: None, owned_since }
    }

    /// Takes the roster from an answer of the store whose request was sent at `asked_at`.
    ///
    /// An answer that was overtaken by that to a later request is ignored.
    pub fn confirm(&mut self, asked_at: Tick, members: Vec<InstanceName>) {
        if self.confirmed_at.is_some_and(|at| asked_at < at) {
            return;
        }
        let is_continuous = self.confirmed_at.is_some_and(|at| asked_at < at + VIEW_VALID);
        if !is_continuous {
            self.owned_since.clear();
        }
        self.confirmed_at = Some(asked_at);
        self.members = members;
        let (me, members) = (&self.me, &self.members);
        self.owned_since.retain(|target, _| is_owner(me, members, target));
    }

    /// Returns whether this gateway may poll `target` at `now`.
    ///
    /// The first call for a target after this gateway came to own it begins the handover.
    pub fn may_poll(&mut self, now: Tick, target: &TargetName) -> bool {
        let is_valid = self.confirmed_at.is_some_and(|at| now < at + VIEW_VALID);
        if !is_valid || !is_owner(&self.me, &self.members, target) {
            self.owned_since.remove(target);
            return false;
        }
        let since = *self.owned_since.entry(target.clone()).or_insert(now);
        now >= since + HANDOVER
    }
}

fn is_owner(me: &InstanceName, members: &[InstanceName], target: &TargetName) -> bool {
    let names = members.iter().map(InstanceName::as_str);
    rendezvous::owner(target.as_str(), names) == Some(me.as_str())
}
