//! A fake store with compare-and-swap that can be down and come back with older data.

use ibiscroft_core::config::{Configuration, ZoneState};
use ibiscroft_core::ids::StoreVersion;
use ibiscroft_core::registers::StoredValue;

/// A store with one key for each register, and one snapshot that can be restored.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) is_down: bool,
    pub(crate) revision: u64,
    pub(crate) configuration: Key<Configuration>,
    pub(crate) zones: Key<ZoneState>,
    snapshot: Option<(u64, Key<Configuration>, Key<ZoneState>)>,
}

/// Value and version of one key.
pub(crate) type Key<T> = StoredValue<T>;

impl FakeStore {
    pub(crate) fn snapshot(&mut self) {
        self.snapshot = Some((self.revision, self.configuration.clone(), self.zones.clone()));
    }

    /// Restores the snapshot with its revision.
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
    /// Writes `value` if the key has the version `expected`; returns whether it was written.
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
