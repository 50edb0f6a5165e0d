//! Response bodies whose bytes depend on path and position, so that wrong bytes are detected.

use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;

const WORD_BYTES: u64 = 8;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio, rounded to odd.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Content of one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pattern {
    seed: u64,
    length: u64,
}

impl Pattern {
    /// Creates the content of the resource at `path`, `length` bytes long.
    #[must_use]
    pub fn new(path: &str, length: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        path.hash(&mut hasher);
        Self { seed: hasher.finish(), length }
    }

    /// Returns the length in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the strong entity tag of the resource.
    #[must_use]
    pub fn etag(&self) -> String {
        format!("\"{:016x}-{}\"", self.seed, self.length)
    }

    /// Returns the bytes in the range `start..end`.
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

    /// Returns whether `bytes` is the content at offset `start`.
    #[must_use]
    pub fn matches(&self, start: u64, bytes: &[u8]) -> bool {
        self.slice(start, start + bytes.len() as u64) == bytes
    }

    /// Returns the 64-bit word at `index`, counted in words from the start.
    fn word(&self, index: u64) -> u64 {
        let mixed = (index ^ self.seed).wrapping_mul(HASH_MULTIPLIER);
        mixed ^ (mixed >> 29)
    }
}
