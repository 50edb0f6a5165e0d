//! State machine of the store: keys with versions, leases and changes by revision.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_wire::generated::store::{Entry, PutRequest};

use super::leases::{LeaseId, Leases};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutError {
    /// The key has another version than expected; holds the version found.
    Conflict(u64),
    /// The lease ended.
    LeaseEnded,
    /// The value is larger than the store takes.
    TooLarge,
}

/// A key that was ever written; a deleted one has no value.
#[derive(Clone, Debug)]
struct Record {
    value: Option<String>,
    changed_at: u64,
    lease: Option<LeaseId>,
}

impl Record {
    fn version(&self) -> u64 {
        if self.value.is_some() { self.changed_at } else { 0 }
    }

    fn entry(&self, key: &str) -> Entry {
        Entry { key: key.to_string(), value: self.value.clone(), version: self.changed_at }
    }
}

/// Everything the store holds. Time is an input.
///
/// Versions and revisions are one rising counter.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    revision: u64,
    records: BTreeMap<String, Record>,
    leases: Leases,
}

impl StoreState {
    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a key that exists.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Entry> {
        let record = self.records.get(key)?;
        record.value.as_ref()?;
        Some(record.entry(key))
    }

    /// Writes a key when its version is the expected one, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns why the write has no effect.
    pub fn put(&mut self, key: &str, request: PutRequest, now: Tick) -> Result<u64, PutError> {
        self.expire(now);
        if request.value.len() > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge);
        }
        let lease = request.lease.map(LeaseId);
        if lease.is_some_and(|id| !self.leases.is_live(id)) {
            return Err(PutError::LeaseEnded);
        }
        self.check_version(key, request.expected_version)?;
        Ok(self.change(key, Some(request.value), lease))
    }

    /// Deletes a key when its version is the expected one, and returns the revision.
    ///
    /// # Errors
    ///
    /// Returns the version found when it is another one.
    pub fn delete(&mut self, key: &str, expected: u64, now: Tick) -> Result<u64, PutError> {
        self.expire(now);
        self.check_version(key, expected)?;
        if expected == 0 {
            return Ok(self.revision);
        }
        Ok(self.change(key, None, None))
    }

    /// Returns the keys under a prefix that exist.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (key, record) in self.under(prefix) {
            if record.value.is_none() {
                continue;
            }
            entries.push(record.entry(key));
        }
        entries
    }

    /// Returns the latest state of each key under a prefix that changed after a revision.
    ///
    /// A revision that this store never had, as after a rollback, counts as 0.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Entry> {
        let after = if after > self.revision { 0 } else { after };
        let mut entries = Vec::new();
        for (key, record) in self.under(prefix) {
            if record.changed_at <= after {
                continue;
            }
            entries.push(record.entry(key));
        }
        entries
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, ttl: Duration, now: Tick) -> LeaseId {
        self.leases.grant(ttl, now)
    }

    /// Renews a lease and returns its time to live; `None` when it ended.
    pub fn renew_lease(&mut self, id: LeaseId, now: Tick) -> Option<Duration> {
        self.expire(now);
        self.leases.renew(id, now)
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke_lease(&mut self, id: LeaseId) {
        if self.leases.revoke(id) {
            self.delete_leased(id);
        }
    }

    /// Ends the leases whose time is over and deletes their keys.
    pub fn expire(&mut self, now: Tick) {
        for id in self.leases.expire(now) {
            self.delete_leased(id);
        }
    }

    fn check_version(&self, key: &str, expected: u64) -> Result<(), PutError> {
        let found = self.records.get(key).map_or(0, Record::version);
        if found == expected { Ok(()) } else { Err(PutError::Conflict(found)) }
    }

    fn change(&mut self, key: &str, value: Option<String>, lease: Option<LeaseId>) -> u64 {
        self.revision += 1;
        let record = Record { value, changed_at: self.revision, lease };
        self.records.insert(key.to_string(), record);
        self.revision
    }

    fn delete_leased(&mut self, id: LeaseId) {
        let mut keys = Vec::new();
        for (key, record) in &self.records {
            if record.lease == Some(id) {
                keys.push(key.clone());
            }
        }
        for key in keys {
            self.change(&key, None, None);
        }
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Record)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.records.range::<str, _>(from).take_while(move |(key, _)| key.starts_with(prefix))
    }
}
