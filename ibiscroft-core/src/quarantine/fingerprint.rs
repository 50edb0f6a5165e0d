//! Identifies requests that are repetitions of each other.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::copy_data;

copy_data! {
    /// Hash of the parts of a request that stay the same when its caller repeats it.
    #[derive(PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
    pub struct Fingerprint(pub u64);
}

impl Fingerprint {
    /// Hashes the parts in order, for instance service, method, path with query, and body.
    ///
    /// Parts that change with each attempt, such as request id and deadline, must be left out.
    #[must_use]
    pub fn new<T: AsRef<[u8]>>(parts: impl IntoIterator<Item = T>) -> Self {
        let mut hash = 0;
        for part in parts {
            hash = xxh3_64_with_seed(part.as_ref(), hash);
        }
        Self(hash)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
