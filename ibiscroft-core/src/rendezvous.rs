//! Rendezvous hashing: all nodes rank the candidates for a key alike without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key`; the highest weight owns the key.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the candidate that owns `key`, or `None` when there is no candidate.
///
/// The owner changes only when it is removed or when the new owner is added.
///
/// ```
/// use ibiscroft_core::rendezvous::owner;
///
/// let all = ["a", "b", "c"];
/// let before = owner("key", all).unwrap();
/// let rest = all.into_iter().filter(|name| *name != "z");
/// assert_eq!(owner("key", rest), Some(before));
/// ```
pub fn owner<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|name| (weight(key, name), *name))
}

/// Returns up to `count` candidates for `key`, highest weight first.
#[must_use]
pub fn ranked<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut all: Vec<&str> = candidates.into_iter().collect();
    all.sort_by_key(|name| std::cmp::Reverse((weight(key, name), *name)));
    all.truncate(count);
    all
}
