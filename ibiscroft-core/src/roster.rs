//! Live gateway instances, their leases in the store, and which instance holds each target.
//!
//! The lease holder of a target is its owner: the registered instance that ranks first in the
//! rendezvous order of the target. An instance may act as holder only while all of these are true
//! on its own monotonic clock:
//!
//! - its lease in the store is valid;
//! - the store confirmed its view of the roster recently;
//! - it has been the owner long enough for every earlier holder to have noticed the change, and
//!   for the permits of that holder to have ended.

pub mod lease;
pub mod ownership;
pub mod view;

use std::net::SocketAddr;
use std::time::Duration;

pub use lease::{LeaseAction, LeaseId, OwnLease};
pub use ownership::OwnedTargets;
pub use view::{Change, RosterUpdate, View};

use crate::ids::{InstanceName, StoreVersion, TargetName};
use crate::{Tick, copy_data, data, text_newtype};

text_newtype!(
    /// Identifier of one run of a gateway process; a restart changes it.
    InstanceRun
);

copy_data! {
    /// Durations that govern leases and roster views.
    pub struct RosterTimings {
        /// Time to live of the lease in the store.
        pub lease_ttl: Duration,
        /// Time before the expiry of the lease from which it no longer counts as valid.
        pub lease_margin: Duration,
        /// Time between calls that create or renew the lease.
        pub renew_interval: Duration,
        /// Time for which a view may be used after the call that confirmed it was sent.
        pub view_validity: Duration,
        /// Time that a new holder waits before it grants permits.
        ///
        /// At least `view_validity`, within which every earlier holder notices the change, plus
        /// the longest use of a permit.
        pub takeover_delay: Duration,
    }
}

data! {
    /// The registration of one instance.
    pub struct Member {
        /// Run that registered itself.
        pub run: InstanceRun,
        /// Address at which other gateways reach it.
        pub address: SocketAddr,
        /// Version of the registration in the store.
        pub version: StoreVersion,
    }
}

/// The roster as one instance knows it, and the lease of that instance.
#[derive(Debug)]
pub struct Roster {
    own: InstanceName,
    run: InstanceRun,
    timings: RosterTimings,
    lease: OwnLease,
    view: View,
    owned: OwnedTargets,
}

impl Roster {
    /// Creates the roster of an instance that has neither a lease nor a view yet.
    #[must_use]
    pub fn new(own: InstanceName, run: InstanceRun, timings: RosterTimings) -> Self {
        Self {
            own,
            run,
            timings,
            lease: OwnLease::new(timings),
            view: View::default(),
            owned: OwnedTargets::default(),
        }
    }

    /// Returns the name of this instance.
    #[must_use]
    pub const fn own_name(&self) -> &InstanceName {
        &self.own
    }

    /// Returns the run of this instance.
    #[must_use]
    pub const fn run(&self) -> &InstanceRun {
        &self.run
    }

    /// Returns the lease of this instance.
    #[must_use]
    pub const fn lease(&self) -> &OwnLease {
        &self.lease
    }

    /// Returns the lease of this instance, to handle responses of the store.
    #[must_use]
    pub const fn lease_mut(&mut self) -> &mut OwnLease {
        &mut self.lease
    }

    /// Returns the view of the registered instances.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Sets the targets that need a lease holder.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetName>, now: Tick) {
        self.owned.set_targets(targets);
        self.owned.recompute(&self.view, &self.own, &self.run, now);
    }

    /// Handles a response of the store; returns whether a registration changed.
    ///
    /// A response to a call that was sent before the one that confirmed the current view is
    /// ignored. All ownership periods restart if changes may have been missed: when the view has
    /// expired, the update lists all members, or the revision decreased.
    pub fn on_update(&mut self, update: &RosterUpdate, now: Tick) -> bool {
        if self.view.confirmed_at() > Some(update.sent_at) {
            return false;
        }
        let is_expired = !self.view.is_valid(now, self.timings.view_validity);
        let may_have_missed_changes =
            is_expired || update.is_full || update.revision < self.view.revision();
        let changed = self.view.apply(update);
        if may_have_missed_changes {
            self.owned.clear();
        }
        if may_have_missed_changes || !changed.is_empty() {
            self.owned.remove_outranked(&changed, &self.own);
            self.owned.recompute(&self.view, &self.own, &self.run, now);
        }
        !changed.is_empty()
    }

    /// Returns whether this instance is certain to be registered.
    #[must_use]
    pub fn is_active(&self, now: Tick) -> bool {
        self.lease.is_valid(now)
            && self.view.is_valid(now, self.timings.view_validity)
            && self.view.is_registered(&self.own, &self.run)
    }

    /// Returns the lease holder of `target` according to the current view.
    #[must_use]
    pub fn holder(&self, target: &TargetName) -> Option<&InstanceName> {
        self.view.owner(target)
    }

    /// Returns the roster revision under which this instance may grant permits for `target`.
    ///
    /// Returns `None` if it is not certain to be the only holder.
    #[must_use]
    pub fn grant_revision(&self, target: &TargetName, now: Tick) -> Option<StoreVersion> {
        let since = self.owned.owned_since(target)?;
        let is_sole_holder = now >= since + self.timings.takeover_delay;
        (self.is_active(now) && is_sole_holder).then_some(self.view.revision())
    }

    /// Returns since when this instance has held `target`, whether or not it may grant permits yet.
    #[must_use]
    pub fn held_since(&self, target: &TargetName) -> Option<Tick> {
        self.owned.owned_since(target)
    }

    /// Returns the targets that this instance holds, each with the time at which it became holder.
    ///
    /// Includes those for which it may not grant permits yet.
    pub fn held(&self) -> impl Iterator<Item = (&TargetName, Tick)> {
        self.owned.iter()
    }
}
