//! A fake store with compare-and-swap that can go down and come back with older data.

use ibiscroft_core::config::{Configuration, ZoneState};
use ibiscroft_core::ids::StoreVersion;
use ibiscroft_core::registers::StoredValue;

/// Two keys, a revision and a snapshot to go back to.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) is_down: bool,
    pub(crate) revision: u64,
    pub(crate) configuration: Key<Configuration>,
    pub(crate) zones: Key<ZoneState>,
    snapshot: Option<(u64, Key<Configuration>, Key<ZoneState>)>,
}

/// One key as the store holds it.
pub(crate) type Key<T> = StoredValue<T>;

impl FakeStore {
    pub(crate) fn snapshot(&mut self) {
        self.snapshot = Some((self.revision, self.configuration.clone(), self.zones.clone()));
    }

    /// Goes back to the snapshot, revision included.
    pub(crate) fn rollback(&mut self) {
        if let Some((revision, configuration, zones)) = self.snapshot.clone() {
            self.revision = revision;
            self.configuration = configuration;
            self.zones = zones;
        }
    }
}

/// Writes by compare-and-swap.
pub(crate) trait Put<T> {
    /// Returns whether the write took effect.
    fn put(&mut self, value: T, expected: StoreVersion, revision: &mut u64) -> bool;
}

impl<T> Put<T> for Key<T> {
    fn put(&mut self, value: T, expected: StoreVersion, revision: &mut u64) -> bool {
        if self.version != expected {
            return false;
        }
        *revision += 1;
        self.version = StoreVersion(*revision);
        self.value = Some(value);
        true
    }
}
