//! Pauses between calls to a store that does not answer.

use std::time::Duration;

/// First pause of the gateway that reads the store for the others.
const READER_FIRST: Duration = Duration::from_millis(150);
/// Longest pause of that gateway; half of the time in which lapsed entries come back.
const READER_LONGEST: Duration = Duration::from_secs(1);
/// First pause of a gateway that is told by another one; its own call was the second opinion.
const FOLLOWER_FIRST: Duration = Duration::from_secs(1);
/// Longest pause of such a gateway: it is told as soon as the reader gets through.
const FOLLOWER_LONGEST: Duration = Duration::from_secs(4);
/// Doublings after which a pause is the longest in any case.
const MOST_DOUBLINGS: u32 = 8;

/// Counts calls that failed in a row.
///
/// Each call counts against the fleet's rate, also while the store is away, so the many that
/// only look whether their source is cut off ask far more seldom than the one reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    failed: u32,
}

impl StoreBackoff {
    /// Notes a call that failed.
    pub fn note_failure(&mut self) {
        self.failed = self.failed.saturating_add(1);
    }

    /// Notes a call that was answered.
    pub fn note_success(&mut self) {
        self.failed = 0;
    }

    /// Returns the pause before the next call of the fleet's reader; zero after an answer.
    #[must_use]
    pub fn reader_delay(&self) -> Duration {
        self.grown(READER_FIRST, READER_LONGEST)
    }

    /// Returns the pause before the next call of a gateway that follows another one.
    #[must_use]
    pub fn follower_delay(&self) -> Duration {
        self.grown(FOLLOWER_FIRST, FOLLOWER_LONGEST)
    }

    fn grown(&self, first: Duration, longest: Duration) -> Duration {
        let Some(doublings) = self.failed.checked_sub(1) else {
            return Duration::ZERO;
        };
        (first * 2u32.pow(doublings.min(MOST_DOUBLINGS))).min(longest)
    }
}
