//! A register: a replicated value whose generation never decreases.
//!
//! Each gateway keeps the newest accepted value that it has received, from the store or from a
//! peer. It never returns to an older one. When the store comes back with older data, a gateway
//! writes the newer value back by compare-and-swap; this is called a repair.

use std::time::Duration;

use crate::config::{Configuration, ZoneState};
use crate::data;
use crate::ids::{ChangeId, Generation, StoreVersion};
use crate::time::Tick;

/// Delay before an older value in the store is repaired.
///
/// A watch that merely lags behind shows the newer value within this time.
pub const REPAIR_DELAY: Duration = Duration::from_millis(400);
/// Additional delay for each gateway that ranks higher.
///
/// One gateway then writes, and the others see its write before their own is due.
pub const REPAIR_RANK_DELAY: Duration = Duration::from_millis(200);
/// Rank from which on the delay no longer grows.
pub const MAX_REPAIR_RANK: u32 = 8;

data! {
    /// Position of a value in the total order of accepted values.
    ///
    /// Values are ordered by generation. The change id decides between equal generations.
    #[derive(PartialOrd, Ord)]
    pub struct Stamp {
        /// Generation of the value.
        pub generation: Generation,
        /// Change that produced it.
        pub change_id: ChangeId,
    }

    /// A write that brings the store up to date.
    pub struct Repair<T> {
        /// Value to write.
        pub value: T,
        /// Version that the key must have for the write to succeed.
        pub expected_version: StoreVersion,
    }

    /// What the store held according to its last response.
    struct StoreState {
        version: StoreVersion,
        stamp: Option<Stamp>,
    }
}

/// A value with a position in the total order of accepted values.
pub trait Stamped: Clone {
    /// Returns the position of this value in the order.
    fn stamp(&self) -> Stamp;
}

impl Stamped for Configuration {
    fn stamp(&self) -> Stamp {
        Stamp { generation: self.generation, change_id: self.change_id.clone() }
    }
}

impl Stamped for ZoneState {
    fn stamp(&self) -> Stamp {
        Stamp { generation: self.generation, change_id: self.change_id.clone() }
    }
}

/// The newest accepted value that this gateway has received.
///
/// ```
/// use ibiscroft_core::config::ZoneState;
/// use ibiscroft_core::ids::Generation;
/// use ibiscroft_core::register::Register;
///
/// let mut register = Register::<ZoneState>::default();
/// let newer = ZoneState { generation: Generation(2), ..ZoneState::empty() };
/// assert!(register.accept_if_newer(&newer));
/// let older = ZoneState { generation: Generation(1), ..ZoneState::empty() };
/// assert!(!register.accept_if_newer(&older));
/// assert_eq!(register.value(), Some(&newer));
/// ```
#[derive(Clone, Debug)]
pub struct Register<T> {
    value: Option<T>,
    store: Option<StoreState>,
    repair_at: Option<Tick>,
}

impl<T> Default for Register<T> {
    fn default() -> Self {
        Self { value: None, store: None, repair_at: None }
    }
}

impl<T: Stamped> Register<T> {
    /// Returns the value in force, or `None` if none was ever received.
    #[must_use]
    pub const fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Returns the position of the value in force in the order of accepted values.
    #[must_use]
    pub fn stamp(&self) -> Option<Stamp> {
        self.value.as_ref().map(Stamped::stamp)
    }

    /// Returns the generation in force, or 0 if there is no value.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.stamp().map_or(Generation(0), |stamp| stamp.generation)
    }

    /// Puts `value` in force if it is newer than the current one; returns whether it was.
    pub fn accept_if_newer(&mut self, value: &T) -> bool {
        if Some(value.stamp()) <= self.stamp() {
            return false;
        }
        self.value = Some(value.clone());
        true
    }

    /// Handles a response of the store; returns whether its value is newer and now in force.
    ///
    /// `stored` is `None` and `version` is 0 when the key does not exist.
    pub fn on_store(&mut self, stored: Option<&T>, version: StoreVersion) -> bool {
        let stamp = stored.map(Stamped::stamp);
        let state = StoreState { version, stamp };
        if self.store.as_ref() != Some(&state) {
            self.repair_at = None;
        }
        self.store = Some(state);
        stored.is_some_and(|value| self.accept_if_newer(value))
    }

    /// Discards the known state of the store when it can't be reached; cancels a pending repair.
    pub fn on_store_lost(&mut self) {
        self.store = None;
        self.repair_at = None;
    }

    /// Returns the write that repairs an older value in the store, if it is due at `now`.
    ///
    /// `rank` is the number of live gateways that precede this one for this register. A write
    /// without a response is repeated after the same delay, unless the store holds the newer
    /// value by then.
    pub fn poll_repair(&mut self, rank: u32, now: Tick) -> Option<Repair<T>> {
        let store = self.store.as_ref()?;
        let value = self.value.as_ref()?;
        if store.stamp >= Some(value.stamp()) {
            self.repair_at = None;
            return None;
        }
        let delay = REPAIR_DELAY + REPAIR_RANK_DELAY * rank.min(MAX_REPAIR_RANK);
        let Some(repair_at) = self.repair_at else {
            self.repair_at = Some(now + delay);
            return None;
        };
        if now < repair_at {
            return None;
        }
        self.repair_at = Some(now + delay);
        Some(Repair { value: value.clone(), expected_version: store.version })
    }
}
