//! Claim pages and their records, as kept in the store.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::IdempotencyKey;
use crate::{data, number_newtype};

use super::UnixMillis;

/// Upper bound of the encoded size, in bytes, of a record without its key and stored response.
const MAX_RECORD_OVERHEAD_BYTES: usize = 192;
/// Upper bound of the encoded size, in bytes, of an empty page.
const MAX_EMPTY_PAGE_BYTES: usize = 64;

number_newtype!(
    /// Hash of a request; distinguishes a resend from a different request with the same key.
    Fingerprint(u64)
);
number_newtype!(
    /// Random number of one claim; distinguishes a gateway's own claim from that of another
    /// request with the same key.
    ClaimNonce(u64)
);

/// Identifies a page by time slot and key shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageId {
    /// Number of the time slot since the Unix epoch.
    pub slot: u64,
    /// Shard within the time slot.
    pub shard: u32,
}

data! {
    /// Claims of one time slot and shard.
    #[derive(Default)]
    pub struct Page {
        /// Claims in the order of their first write.
        pub records: Vec<ClaimRecord>,
    }

    /// A claim on a key.
    pub struct ClaimRecord {
        /// Idempotency key of the request.
        pub key: IdempotencyKey,
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Nonce of the request that holds the claim.
        pub nonce: ClaimNonce,
        /// Time from which the outcome counts as unknown if none was recorded.
        pub expires_at: UnixMillis,
        /// Outcome of the request, as far as it is known.
        pub state: ClaimState,
    }

    /// Outcome of a claimed request.
    pub enum ClaimState {
        /// No outcome yet; the request may be running.
        Claimed,
        /// The request ran and the backend server responded.
        Finished(StoredResponse),
        /// The request may have run; it is never sent again.
        Unknown,
    }

    /// Response of a backend server, stored for callers that send the same request again.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Content type; empty when the response had none.
        pub content_type: String,
        /// Body; `None` when it was too large to store.
        pub body: Option<Vec<u8>>,
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request with the given parts.
    ///
    /// The length of each part is hashed too, so that moving bytes between parts changes the
    /// result.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl Page {
    /// Returns the record of `key`, if the key is claimed.
    #[must_use]
    pub fn find(&self, key: &IdempotencyKey) -> Option<&ClaimRecord> {
        self.records.iter().find(|record| record.key == *key)
    }

    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        MAX_EMPTY_PAGE_BYTES + self.records.iter().map(ClaimRecord::encoded_bytes).sum::<usize>()
    }

    /// Returns the record of `key`, if the key is claimed, for modification.
    pub(crate) fn find_mut(&mut self, key: &IdempotencyKey) -> Option<&mut ClaimRecord> {
        self.records.iter_mut().find(|record| record.key == *key)
    }

    /// Removes the claim with `nonce` on `key` unless it is finished; returns whether a claim was
    /// removed.
    pub(crate) fn release(&mut self, key: &IdempotencyKey, nonce: ClaimNonce) -> bool {
        let before = self.records.len();
        self.records.retain(|record| {
            let is_own = record.key == *key && record.nonce == nonce;
            !is_own || matches!(record.state, ClaimState::Finished(_))
        });
        self.records.len() != before
    }
}

impl ClaimRecord {
    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let response = match &self.state {
            ClaimState::Finished(response) => response.encoded_bytes(),
            ClaimState::Claimed | ClaimState::Unknown => 0,
        };
        MAX_RECORD_OVERHEAD_BYTES + self.key.as_str().len() + response
    }
}

impl StoredResponse {
    /// Returns an upper bound of the encoded size in bytes.
    ///
    /// The content type and a UTF-8 body are JSON strings with their escapes; any other body is
    /// written as two hexadecimal digits per byte.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let body = self.body.as_deref().map_or(0, encoded_body_bytes);
        json_escaped_bytes(&self.content_type) + body
    }

    /// Returns the response, without its body when that has more than `limit` bytes.
    #[must_use]
    pub fn with_body_up_to(mut self, limit: usize) -> Self {
        self.body = self.body.filter(|body| body.len() <= limit);
        self
    }
}

impl fmt::Display for PageId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.slot, self.shard)
    }
}

fn encoded_body_bytes(body: &[u8]) -> usize {
    std::str::from_utf8(body).map_or(2 * body.len(), json_escaped_bytes)
}

fn json_escaped_bytes(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}
