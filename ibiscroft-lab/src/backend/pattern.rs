//! Bytes that depend on the path and the position, so that a wrong byte is recognised.

use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;

const WORD_BYTES: u64 = 8;
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The bytes of one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pattern {
    seed: u64,
    length: u64,
}

impl Pattern {
    /// The bytes of the resource at `path`.
    #[must_use]
    pub fn new(path: &str, length: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        path.hash(&mut hasher);
        Self { seed: hasher.finish(), length }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the strong validator of the resource.
    #[must_use]
    pub fn etag(&self) -> String {
        format!("\"{:016x}-{}\"", self.seed, self.length)
    }

    /// Returns the bytes from `start` to `end`, `end` excluded.
    #[must_use]
    pub fn slice(&self, start: u64, end: u64) -> Bytes {
        let capacity = usize::try_from(end.saturating_sub(start)).unwrap_or(0);
        let mut buf = Vec::with_capacity(capacity + 2 * WORD_BYTES as usize);
        let skipped = (start % WORD_BYTES) as usize;
        let mut word = start / WORD_BYTES;
        while buf.len() < capacity + skipped {
            buf.extend_from_slice(&self.word(word).to_le_bytes());
            word += 1;
        }
        Bytes::from(buf).slice(skipped..skipped + capacity)
    }

    /// Returns whether `found` are the bytes at `start`.
    #[must_use]
    pub fn matches(&self, start: u64, found: &[u8]) -> bool {
        self.slice(start, start + found.len() as u64) == found
    }

    fn word(&self, index: u64) -> u64 {
        let mixed = (index ^ self.seed).wrapping_mul(MULTIPLIER);
        mixed ^ (mixed >> 29)
    }
}
