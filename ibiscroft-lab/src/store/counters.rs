//! Calls that the store received, by kind.

use serde::{Deserialize, Serialize};

/// Calls by kind; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Reads of one key.
    pub get: u64,
    /// Writes.
    pub put: u64,
    /// Writes refused because the version was another one.
    pub conflicts: u64,
    /// Deletions.
    pub delete: u64,
    /// Lists of a prefix.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Leases granted, renewed or revoked.
    pub lease: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Calls refused while down.
    pub refused: u64,
    /// Writes whose answer was lost on purpose.
    pub lost_answers: u64,
}

impl StoreCounters {
    /// Returns the calls of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads() + self.writes() + self.refused
    }

    /// Returns the calls that read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.get + self.list + self.watch + self.instances
    }

    /// Returns the calls that write; leases count as writes.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.put + self.delete + self.lease
    }
}
