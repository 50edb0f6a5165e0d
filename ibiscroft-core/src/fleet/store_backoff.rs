//! Calls to a store that does not respond.

use std::time::Duration;

/// First delay of the gateway that reads the store on behalf of the others.
const READER_INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Longest delay of that gateway: shorter than the time for which its followers wait for it.
const READER_MAX_DELAY: Duration = Duration::from_millis(400);
/// Interval between the checks of a gateway that receives updates from another one.
///
/// With the time for which it then waits for its source, this is shorter than the time after an
/// outage from which a gateway must be current.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a follower with followers of its own gives its source after the store has responded to
/// a check.
const LEADER_SOURCE_GRACE: Duration = Duration::from_millis(400);
/// Time that any other follower gives its source; enough for a source that follows another one.
const FOLLOWER_SOURCE_GRACE: Duration = Duration::from_millis(900);
/// Number of doublings after which every delay has reached its maximum.
const MAX_DOUBLINGS: u32 = 8;

/// The next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A call that shows whether the store responds to this gateway, without reading its state.
    Check,
    /// A read.
    Read,
}

/// Which gateway calls the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCaller {
    /// A gateway that receives its updates from the store.
    Reader,
    /// A gateway that follows another one and has followers of its own.
    Leader,
    /// A gateway that follows another one and has no followers.
    Follower,
}

/// Backoff after consecutive failed calls.
///
/// After a failed read the store is checked until it responds, and only then read again. Each gateway
/// finds out for itself, and in time, that the store responds again: its source may still be turned
/// away and not know it. Checks do not count toward the store's rate limit; one that is answered costs
/// a tenth of a read, one that is refused as much as a read.
///
/// When the store responds to a check, a gateway that follows another one first gives its source
/// time to send what it has read, so that the return of the store does not make all gateways read it.
///
/// ```
/// use ibiscroft_core::fleet::{StoreBackoff, StoreCall};
///
/// let mut backoff = StoreBackoff::default();
/// backoff.note_failure();
/// assert_eq!(backoff.next_call(), StoreCall::Check);
/// backoff.note_reachable();
/// assert_eq!(backoff.next_call(), StoreCall::Read);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    consecutive_failures: u32,
    /// Whether the store has responded to a check since the last failure.
    is_reachable: bool,
}

impl StoreBackoff {
    /// Records a failed call.
    pub fn note_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.is_reachable = false;
    }

    /// Records that the store responded to a check.
    pub fn note_reachable(&mut self) {
        self.is_reachable = true;
    }

    /// Records that the store responded to a read, or that an update shows that it responds, which
    /// resets the backoff.
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// Returns the next call.
    #[must_use]
    pub fn next_call(&self) -> StoreCall {
        if self.consecutive_failures > 0 && !self.is_reachable {
            StoreCall::Check
        } else {
            StoreCall::Read
        }
    }

    /// Returns the delay of the next call of `caller`: after the last call for a reader, which reads
    /// at once when the store has responded to a check, and between the starts of both calls for the
    /// others; zero after a successful read.
    #[must_use]
    pub fn delay(&self, caller: StoreCaller) -> Duration {
        let Some(doublings) = self.consecutive_failures.checked_sub(1) else {
            return Duration::ZERO;
        };
        match (caller, self.is_reachable) {
            (StoreCaller::Leader, true) => LEADER_SOURCE_GRACE,
            (StoreCaller::Follower, true) => FOLLOWER_SOURCE_GRACE,
            (StoreCaller::Reader | StoreCaller::Leader, _) => {
                let doubled = READER_INITIAL_DELAY * 2u32.pow(doublings.min(MAX_DOUBLINGS));
                doubled.min(READER_MAX_DELAY)
            }
            (StoreCaller::Follower, false) => FOLLOWER_CHECK_INTERVAL,
        }
    }
}
