//! Numbers of calls that the store received.

use serde::{Deserialize, Serialize};

/// Numbers of calls by kind; a watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Reads of one key.
    pub get: u64,
    /// Writes.
    pub put: u64,
    /// Writes and deletions refused because the version differed from the expected one.
    pub conflicts: u64,
    /// Deletions.
    pub delete: u64,
    /// Lists of the keys with a prefix.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Leases granted, renewed or revoked.
    pub lease: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Calls refused while the store was down.
    pub refused: u64,
    /// Writes and deletions whose response was lost by an injected fault.
    pub lost_answers: u64,
}

impl StoreCounters {
    /// Returns the number of all calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads() + self.writes() + self.refused
    }

    /// Returns the number of calls that read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.get + self.list + self.watch + self.instances
    }

    /// Returns the number of calls that write, including lease calls.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.put + self.delete + self.lease
    }
}
