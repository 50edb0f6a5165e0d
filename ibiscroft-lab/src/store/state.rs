//! State machine of the store: versioned keys, leases and changes by revision.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_wire::generated::store::{Entry, PutRequest};

use super::leases::{LeaseId, Leases};

/// Maximum length of a value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutError {
    /// The version of the key differs from the expected one; holds the actual version.
    Conflict(u64),
    /// The lease has ended or never existed.
    LeaseEnded,
    /// The value exceeds the maximum length.
    TooLarge,
}

/// Last change of a key; the value is absent if the key was deleted.
#[derive(Clone, Debug)]
struct Record {
    value: Option<String>,
    /// Revision of the change.
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

/// All keys and leases of the store; the caller passes the time.
///
/// The version of a key is the revision of its last change.
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

    /// Returns the entry of a key; `None` if the key does not exist.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Entry> {
        let record = self.records.get(key)?;
        record.value.as_ref()?;
        Some(record.entry(key))
    }

    /// Writes a key if its version is the expected one, and returns the new version. Version 0
    /// means that the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns why the write was refused; it then has no effect.
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

    /// Deletes a key if its version is the expected one, and returns the revision. Deleting a key
    /// that does not exist (version 0) changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`PutError::Conflict`] if the version differs.
    pub fn delete(&mut self, key: &str, expected: u64, now: Tick) -> Result<u64, PutError> {
        self.expire(now);
        self.check_version(key, expected)?;
        if expected == 0 {
            return Ok(self.revision);
        }
        Ok(self.change(key, None, None))
    }

    /// Returns the entries of all existing keys with a prefix.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (key, record) in self.with_prefix(prefix) {
            if record.value.is_none() {
                continue;
            }
            entries.push(record.entry(key));
        }
        entries
    }

    /// Returns the last change of each key with a prefix that changed after a revision.
    ///
    /// A revision above the current one, as seen after a rollback, counts as 0.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Entry> {
        let after = if after > self.revision { 0 } else { after };
        let mut entries = Vec::new();
        for (key, record) in self.with_prefix(prefix) {
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

    /// Renews a lease and returns its time to live; `None` if it has ended.
    pub fn renew_lease(&mut self, id: LeaseId, now: Tick) -> Option<Duration> {
        self.expire(now);
        self.leases.renew(id, now)
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke_lease(&mut self, id: LeaseId) {
        if self.leases.revoke(id) {
            self.delete_keys_of_lease(id);
        }
    }

    /// Ends the expired leases and deletes their keys.
    pub fn expire(&mut self, now: Tick) {
        for id in self.leases.expire(now) {
            self.delete_keys_of_lease(id);
        }
    }

    fn check_version(&self, key: &str, expected: u64) -> Result<(), PutError> {
        let actual = self.records.get(key).map_or(0, Record::version);
        if actual == expected { Ok(()) } else { Err(PutError::Conflict(actual)) }
    }

    /// Sets or deletes a key at the next revision, and returns that revision.
    fn change(&mut self, key: &str, value: Option<String>, lease: Option<LeaseId>) -> u64 {
        self.revision += 1;
        let record = Record { value, changed_at: self.revision, lease };
        self.records.insert(key.to_string(), record);
        self.revision
    }

    fn delete_keys_of_lease(&mut self, id: LeaseId) {
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

    fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Record)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.records.range::<str, _>(from).take_while(move |(key, _)| key.starts_with(prefix))
    }
}
