//! Targets to which a request was already sent.

/// Largest number of retries of a request, each at another target.
pub const MAX_RETRIES: usize = 3;

/// Targets of a request's attempts so far: one more than [`MAX_RETRIES`] at most.
///
/// Targets are identified by their index in the [`Pool`](super::Pool).
///
/// ```
/// use ibiscroft_core::selection::AttemptedTargets;
///
/// let mut attempted = AttemptedTargets::default();
/// attempted.insert(7);
/// assert!(attempted.contains(7));
/// assert!(!attempted.is_full());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptedTargets {
    indexes: [usize; MAX_RETRIES + 1],
    count: usize,
}

impl AttemptedTargets {
    /// Adds the target at `index`; does nothing when the set is full.
    pub fn insert(&mut self, index: usize) {
        if self.is_full() {
            return;
        }
        self.indexes[self.count] = index;
        self.count += 1;
    }

    /// Returns whether there was an attempt at the target at `index`.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        self.indexes[..self.count].contains(&index)
    }

    /// Returns whether no further attempt is allowed.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count == self.indexes.len()
    }

    /// Returns the number of attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there was no attempt yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
