//! Registers whose generation only rises.
//!
//! A register holds the newest accepted value that this gateway has heard of, from the store or
//! from a peer. It never goes back: when the store returns with older data, the newer value is
//! written back by compare-and-swap.

use std::time::Duration;

use crate::config::{Configuration, ZoneState};
use crate::data;
use crate::ids::{ChangeId, Generation, StoreVersion};
use crate::time::Tick;

/// Wait before an older store is repaired; a watch that merely lags catches up in this time.
pub const REPAIR_GRACE: Duration = Duration::from_millis(400);
/// Further wait for each gateway that ranks higher, so that one writes and the others see it.
pub const REPAIR_STEP: Duration = Duration::from_millis(200);
/// Highest rank that counts; later ones wait as long as this one.
pub const MAX_REPAIR_RANK: u32 = 8;

data! {
    /// Total order of accepted values; the change id decides between equal generations.
    #[derive(PartialOrd, Ord)]
    pub struct Stamp {
        /// Generation of the value.
        pub generation: Generation,
        /// Change that produced it.
        pub change_id: ChangeId,
    }

    /// A write that brings the store up to date again.
    pub struct Repair<T> {
        /// Value to write.
        pub value: T,
        /// Version the key must have.
        pub expected_version: StoreVersion,
    }

    /// What the store showed last.
    struct StoreView {
        version: StoreVersion,
        stamp: Option<Stamp>,
    }
}

/// A value with a place in the total order of accepted values.
pub trait Stamped: Clone {
    /// Returns the place of this value in the order.
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

/// The newest accepted value that this gateway has heard of.
///
/// ```
/// use ibiscroft_core::config::ZoneState;
/// use ibiscroft_core::ids::Generation;
/// use ibiscroft_core::register::Register;
///
/// let mut register = Register::<ZoneState>::default();
/// let newer = ZoneState { generation: Generation(2), ..ZoneState::empty() };
/// assert!(register.offer(&newer));
/// assert!(!register.offer(&ZoneState { generation: Generation(1), ..ZoneState::empty() }));
/// assert_eq!(register.value(), Some(&newer));
/// ```
#[derive(Clone, Debug)]
pub struct Register<T> {
    value: Option<T>,
    store: Option<StoreView>,
    repair_at: Option<Tick>,
}

impl<T> Default for Register<T> {
    fn default() -> Self {
        Self { value: None, store: None, repair_at: None }
    }
}

impl<T: Stamped> Register<T> {
    /// Returns the value in force; `None` when none was ever heard of.
    #[must_use]
    pub const fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Returns the place of the value in force in the order of accepted values.
    #[must_use]
    pub fn stamp(&self) -> Option<Stamp> {
        self.value.as_ref().map(Stamped::stamp)
    }

    /// Returns the generation in force, 0 when there is none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.stamp().map_or(Generation(0), |stamp| stamp.generation)
    }

    /// Takes a value from a peer; returns whether it is newer and now in force.
    pub fn offer(&mut self, value: &T) -> bool {
        if Some(value.stamp()) <= self.stamp() {
            return false;
        }
        self.value = Some(value.clone());
        true
    }

    /// Takes what the store holds; returns whether it is newer and now in force.
    ///
    /// `found` is `None` with version 0 when the key does not exist.
    pub fn on_store(&mut self, found: Option<&T>, version: StoreVersion) -> bool {
        let stamp = found.map(Stamped::stamp);
        let view = StoreView { version, stamp };
        if self.store.as_ref() != Some(&view) {
            self.repair_at = None;
        }
        self.store = Some(view);
        found.is_some_and(|value| self.offer(value))
    }

    /// Forgets what the store showed, because it can't be reached.
    pub fn on_store_lost(&mut self) {
        self.store = None;
        self.repair_at = None;
    }

    /// Returns the write that repairs an older store, when it is this gateway's turn.
    ///
    /// `rank` is this gateway's place among the live ones for this register. A write whose
    /// answer is lost is repeated later, unless the store shows the newer value by then.
    pub fn poll_repair(&mut self, rank: u32, now: Tick) -> Option<Repair<T>> {
        let view = self.store.as_ref()?;
        let value = self.value.as_ref()?;
        if view.stamp >= Some(value.stamp()) {
            self.repair_at = None;
            return None;
        }
        let wait = REPAIR_GRACE + REPAIR_STEP * rank.min(MAX_REPAIR_RANK);
        let Some(repair_at) = self.repair_at else {
            self.repair_at = Some(now + wait);
            return None;
        };
        if now < repair_at {
            return None;
        }
        self.repair_at = Some(now + wait);
        Some(Repair { value: value.clone(), expected_version: view.version })
    }
}
