//! Organisations: groups of callers that share API keys, a priority and a quota.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::copy_data;
use crate::ids::OrganisationName;

copy_data! {
    /// Digest of an API key: the first 128 bits of its SHA-256.
    ///
    /// Configurations hold digests only, so that no dump, log line or message between gateways
    /// contains a key. Keys are looked up by digest, whose comparison reveals nothing about other
    /// keys; a comparison in constant time is therefore not needed.
    #[derive(PartialOrd, Ord, Serialize, Deserialize)]
    pub struct KeyDigest(u64, u64);
}

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let word = |start: usize| {
            let bytes = digest.iter().skip(start).take(8);
            bytes.fold(0, |word: u64, byte| word << 8 | u64::from(*byte))
        };
        Self(word(0), word(8))
    }
}

/// Limit on the requests of an organisation, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second, above 0.
    pub rate: f64,
    /// Requests that may be made at once in addition, after a time with fewer requests.
    pub burst: f64,
}

/// What applies to all requests of an organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationPolicy {
    /// Priority of the organisation's requests, 0 being the most urgent; `None` if that of the
    /// route applies.
    pub priority: Option<u32>,
    /// Limit on the organisation's requests, `None` if there is none.
    pub quota: Option<Quota>,
}

/// The organisations of a configuration and their keys.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Organisations {
    policies: BTreeMap<OrganisationName, OrganisationPolicy>,
    keys: BTreeMap<KeyDigest, OrganisationName>,
}

impl fmt::Debug for Organisations {
    /// Formats the policies and the number of keys, but no digests.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Organisations")
            .field("policies", &self.policies)
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl Organisations {
    /// Adds an organisation with its keys.
    ///
    /// A key that another organisation has already stays with that one; the names of such
    /// organisations are returned.
    pub fn insert(
        &mut self,
        name: &OrganisationName,
        policy: OrganisationPolicy,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Vec<OrganisationName> {
        let mut holders = Vec::new();
        for key in keys {
            let holder = self.keys.entry(key).or_insert_with(|| name.clone());
            if holder != name {
                holders.push(holder.clone());
            }
        }
        self.policies.insert(name.clone(), policy);
        holders
    }

    /// Returns the organisation that has a key.
    #[must_use]
    pub fn by_key(&self, key: KeyDigest) -> Option<&OrganisationName> {
        self.keys.get(&key)
    }

    /// Returns what applies to the requests of an organisation.
    #[must_use]
    pub fn policy(&self, name: &OrganisationName) -> Option<&OrganisationPolicy> {
        self.policies.get(name)
    }

    /// Returns the organisations and what applies to their requests, in the order of their names.
    pub fn policies(&self) -> impl Iterator<Item = (&OrganisationName, &OrganisationPolicy)> {
        self.policies.iter()
    }

    /// Returns the digests of all keys and the organisations that have them.
    pub fn keys(&self) -> impl Iterator<Item = (KeyDigest, &OrganisationName)> {
        self.keys.iter().map(|(key, holder)| (*key, holder))
    }

    /// Returns the organisations with a limit on their requests.
    pub fn quotas(&self) -> impl Iterator<Item = (&OrganisationName, Quota)> {
        self.policies.iter().filter_map(|(name, policy)| Some((name, policy.quota?)))
    }
}
