//! Pages of claims.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::IdempotencyKey;
use crate::{data, number_newtype};

use super::UnixMillis;

/// Encoded size of a record without key and kept answer, in bytes; an upper bound.
const RECORD_BYTES: usize = 192;
/// Encoded size of an empty page, in bytes; an upper bound.
const PAGE_BYTES: usize = 64;

number_newtype!(
    /// Hash of a request; tells a resend from another request with the same key.
    Fingerprint(u64)
);
number_newtype!(
    /// Random number of one try; tells a gateway's own claim from that of another try.
    ClaimNonce(u64)
);

/// Name of a page: its time slot and its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageId {
    /// Number of the time slot since the Unix epoch.
    pub slot: u64,
    /// Shard within the slot.
    pub shard: u32,
}

data! {
    /// Claims of one time slot and shard.
    #[derive(Default)]
    pub struct Page {
        /// Claims in the order of their first write.
        pub records: Vec<ClaimRecord>,
    }

    /// One claim on a key.
    pub struct ClaimRecord {
        /// Key of the order.
        pub key: IdempotencyKey,
        /// Fingerprint of the order.
        pub fingerprint: Fingerprint,
        /// Try that holds the claim.
        pub nonce: ClaimNonce,
        /// Time from which a claim without outcome counts as unknown.
        pub expires_at: UnixMillis,
        /// What is known of the order.
        pub state: ClaimState,
    }

    /// What is known of a claimed order.
    pub enum ClaimState {
        /// Claimed; it may be running.
        Claimed,
        /// Ran and was answered.
        Finished(StoredResponse),
        /// May have run; it is never sent again.
        Unknown,
    }

    /// Answer kept for callers that send the same order again.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Content type; empty when the answer had none.
        pub content_type: String,
        /// Body; `None` when it was too large.
        pub body: Option<Vec<u8>>,
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request that consists of `parts`.
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
    /// Returns the record of `key`.
    #[must_use]
    pub fn find(&self, key: &IdempotencyKey) -> Option<&ClaimRecord> {
        self.records.iter().find(|record| record.key == *key)
    }

    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        PAGE_BYTES + self.records.iter().map(ClaimRecord::encoded_bytes).sum::<usize>()
    }

    /// Returns the record of `key` for changes.
    pub(crate) fn find_mut(&mut self, key: &IdempotencyKey) -> Option<&mut ClaimRecord> {
        self.records.iter_mut().find(|record| record.key == *key)
    }

    /// Removes the claim of `nonce` on `key` unless its outcome is known; returns whether it did.
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
        let kept = match &self.state {
            ClaimState::Finished(answer) => answer.encoded_bytes(),
            ClaimState::Claimed | ClaimState::Unknown => 0,
        };
        RECORD_BYTES + self.key.as_str().len() + kept
    }
}

impl StoredResponse {
    /// Returns an upper bound of the encoded size in bytes.
    ///
    /// Text is escaped as JSON needs it; other bytes take two digits each.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let body = self.body.as_deref().map_or(0, body_bytes);
        escaped_bytes(&self.content_type) + body
    }

    /// Returns the answer with its body only when the body has at most `limit` bytes.
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

fn body_bytes(body: &[u8]) -> usize {
    std::str::from_utf8(body).map_or(2 * body.len(), escaped_bytes)
}

fn escaped_bytes(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}
