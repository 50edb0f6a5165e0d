//! Decides which gateway may poll a target.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::polls::POLL_TIMEOUT;
use crate::Tick;
use crate::ids::{InstanceName, TargetName};
use crate::rendezvous;

/// Time for which a confirmed view of the roster allows polls, counted from the request.
pub const VIEW_VALIDITY: Duration = Duration::from_secs(5);
/// Time that a new owner waits before its first poll.
///
/// By then, the view of the previous owner has expired and its last poll has ended. The delay
/// includes a tenth of [`VIEW_VALIDITY`] for clocks that run at different rates.
pub const HANDOVER_DELAY: Duration = Duration::from_millis(
    VIEW_VALIDITY.as_millis() as u64 * 11 / 10 + POLL_TIMEOUT.as_millis() as u64,
);

/// This gateway's view of the roster, and since when it owns each target under that view.
///
/// No two gateways poll the same target at the same time. To do so, each would need a view that was
/// confirmed within [`VIEW_VALIDITY`] and makes it the owner. The later owner became so by a change
/// of the roster that the view of the earlier one does not show, and it waits [`HANDOVER_DELAY`]
/// from when it received that change.
#[derive(Debug)]
pub struct PollOwnership {
    own: InstanceName,
    members: Vec<InstanceName>,
    confirmed_at: Option<Tick>,
    owned_since: FxHashMap<TargetName, Tick>,
}

impl PollOwnership {
    /// Creates the state of the gateway `own`, which owns no target yet.
    #[must_use]
    pub fn new(own: InstanceName) -> Self {
        let owned_since = FxHashMap::default();
        Self { own, members: Vec::new(), confirmed_at: None, owned_since }
    }

    /// Sets the roster from a response of the store whose request was sent at `sent_at`.
    ///
    /// A response is ignored if the response to a later request arrived before it. All ownership
    /// periods restart if the previous view had expired when the request was sent.
    pub fn confirm(&mut self, sent_at: Tick, members: Vec<InstanceName>) {
        if self.confirmed_at.is_some_and(|at| sent_at < at) {
            return;
        }
        let is_continuous = self.confirmed_at.is_some_and(|at| sent_at < at + VIEW_VALIDITY);
        if !is_continuous {
            self.owned_since.clear();
        }
        self.confirmed_at = Some(sent_at);
        self.members = members;
        let (own, members) = (&self.own, &self.members);
        self.owned_since.retain(|target, _| is_owner(own, members, target));
    }

    /// Returns whether this gateway may poll `target` at `now`.
    ///
    /// The first call after this gateway has become the owner of a target starts
    /// [`HANDOVER_DELAY`].
    pub fn may_poll(&mut self, now: Tick, target: &TargetName) -> bool {
        let is_valid = self.confirmed_at.is_some_and(|at| now < at + VIEW_VALIDITY);
        if !is_valid || !is_owner(&self.own, &self.members, target) {
            self.owned_since.remove(target);
            return false;
        }
        let since = *self.owned_since.entry(target.clone()).or_insert(now);
        now >= since + HANDOVER_DELAY
    }
}

fn is_owner(own: &InstanceName, members: &[InstanceName], target: &TargetName) -> bool {
    let names = members.iter().map(InstanceName::as_str);
    rendezvous::owner(target.as_str(), names) == Some(own.as_str())
}
