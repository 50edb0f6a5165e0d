//! Identifies requests that are repetitions of each other.

use std::fmt;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

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

    /// Returns the hash with a further part, which is given in segments; their boundaries make no
    /// difference.
    #[must_use]
    pub fn with_segments<T: AsRef<[u8]>>(self, segments: impl IntoIterator<Item = T>) -> Self {
        let mut hasher = Xxh3::with_seed(self.0);
        for segment in segments {
            hasher.update(segment.as_ref());
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
