//! Live instances, their leases in the store, and which instance holds which target.
//!
//! An instance may act as lease holder of a target only while three things hold on its own
//! monotonic clock: its lease is valid, its view of the roster was confirmed by the store
//! recently, and it has been first in the rendezvous order of that target long enough for every
//! earlier holder to have noticed and for the permits of that holder to have ended.

pub mod lease;
pub mod ownership;
pub mod view;

use std::net::SocketAddr;
use std::time::Duration;

pub use lease::{LeaseAction, LeaseId, OwnLease};
pub use ownership::Ownership;
pub use view::{Change, RosterUpdate, View};

use crate::ids::{InstanceName, StoreVersion, TargetName};
use crate::{Tick, copy_data, data, text_newtype};

text_newtype!(
    /// Identifier of one run of a gateway's process; a restart changes it.
    InstanceRun
);

copy_data! {
    /// Time limits of leases and roster views.
    pub struct RosterTimings {
        /// Time to live of the lease in the store.
        pub lease_ttl: Duration,
        /// Time before its end at which the lease no longer counts as valid.
        pub lease_margin: Duration,
        /// Time between renewals.
        pub renew_interval: Duration,
        /// Time after which a view that was not confirmed again is no longer used.
        pub view_validity: Duration,
        /// Time a new holder waits before it grants: at least `view_validity`, within which every
        /// earlier holder notices, plus the longest use of a permit.
        pub takeover_delay: Duration,
    }
}

data! {
    /// One registered instance.
    pub struct Member {
        /// Run that registered.
        pub run: InstanceRun,
        /// Address for other gateways.
        pub address: SocketAddr,
        /// Version of the registration in the store.
        pub version: StoreVersion,
    }
}

/// The roster as one instance knows it, with that instance's own lease.
#[derive(Debug)]
pub struct Roster {
    own: InstanceName,
    run: InstanceRun,
    times: RosterTimings,
    lease: OwnLease,
    view: View,
    ownership: Ownership,
}

impl Roster {
    /// Makes the roster of an instance that has neither a lease nor a view yet.
    #[must_use]
    pub fn new(own: InstanceName, run: InstanceRun, times: RosterTimings) -> Self {
        Self {
            own,
            run,
            times,
            lease: OwnLease::new(times),
            view: View::default(),
            ownership: Ownership::default(),
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

    /// Returns the lease of this instance for events of the store.
    #[must_use]
    pub const fn lease_mut(&mut self) -> &mut OwnLease {
        &mut self.lease
    }

    /// Returns the registered instances.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Sets the targets that need a lease holder.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetName>, now: Tick) {
        self.ownership.set_targets(targets);
        self.ownership.refresh(&self.view, &self.own, &self.run, now);
    }

    /// Takes in an answer of the store; returns whether the set of members changed.
    ///
    /// An answer to a call that was sent before that of the present view is passed over.
    pub fn on_update(&mut self, update: &RosterUpdate, now: Tick) -> bool {
        if self.view.confirmed_at() > Some(update.sent_at) {
            return false;
        }
        let lapsed = !self.view.is_valid(now, self.times.view_validity);
        let gap = lapsed || update.is_full || update.revision < self.view.revision();
        let changed = self.view.apply(update);
        if gap {
            self.ownership.clear();
        }
        if gap || !changed.is_empty() {
            self.ownership.disturb(&changed, &self.own);
            self.ownership.refresh(&self.view, &self.own, &self.run, now);
        }
        !changed.is_empty()
    }

    /// Returns whether this instance is registered and knows it for certain.
    #[must_use]
    pub fn is_active(&self, now: Tick) -> bool {
        self.lease.is_valid(now)
            && self.view.is_valid(now, self.times.view_validity)
            && self.view.is_registered(&self.own, &self.run)
    }

    /// Returns the lease holder of `target` in the last view.
    #[must_use]
    pub fn holder(&self, target: &TargetName) -> Option<&InstanceName> {
        self.view.owner(target)
    }

    /// Returns the roster revision under which this instance may grant permits for `target`.
    #[must_use]
    pub fn grant_revision(&self, target: &TargetName, now: Tick) -> Option<StoreVersion> {
        let since = self.ownership.since(target)?;
        let is_alone = now >= since + self.times.takeover_delay;
        (self.is_active(now) && is_alone).then_some(self.view.revision())
    }

    /// Returns since when this instance has held `target`, whether it may grant yet or not.
    #[must_use]
    pub fn held_since(&self, target: &TargetName) -> Option<Tick> {
        self.ownership.since(target)
    }

    /// Returns the targets this instance holds or is about to hold, with the time of taking over.
    pub fn held(&self) -> impl Iterator<Item = (&TargetName, Tick)> {
        self.ownership.iter()
    }
}
