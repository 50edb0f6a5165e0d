//! Targets that a request was offered to.

/// Times a request moves on to another target after a refusal.
pub const MAX_MOVES: usize = 3;

/// Targets that a request was offered to; holds at most one more than [`MAX_MOVES`].
///
/// ```
/// use ibiscroft_core::selection::AttemptedTargets;
///
/// let mut tried = AttemptedTargets::default();
/// tried.insert(7);
/// assert!(tried.contains(7));
/// assert!(!tried.is_full());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptedTargets {
    indexes: [usize; MAX_MOVES + 1],
    count: usize,
}

impl AttemptedTargets {
    /// Notes that the request was offered to the target at `index`.
    ///
    /// Does nothing when the set is full.
    pub fn insert(&mut self, index: usize) {
        if self.is_full() {
            return;
        }
        self.indexes[self.count] = index;
        self.count += 1;
    }

    /// Returns whether the request was offered to the target at `index`.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        self.indexes[..self.count].contains(&index)
    }

    /// Returns whether the request may not be offered to another target.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count == self.indexes.len()
    }

    /// Returns the targets the request was offered to.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the request was not offered to any target yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
