//! Retries as a share of recent calls.

use std::sync::atomic::{AtomicU64, Ordering};

use super::token_bucket::TokenBucket;
use crate::ids::{PerSecond, Permille};
use crate::{Tick, copy_data};

/// Cost of one retry in thousandths of a token.
const RETRY_COST: u64 = 1_000;
/// Greatest balance, in thousandths of a token.
const MAX_BALANCE: u64 = 20 * RETRY_COST;
/// Retries a second that are allowed without any calls.
const FLOOR: PerSecond = PerSecond(1);
/// Retries at once that are allowed without any calls.
const FLOOR_BURST: u32 = 3;
/// Moves to another target after a refusal, as a share of calls.
const MOVE_SHARE: Permille = Permille(1_000);
/// Measured load at and above which nothing is resent before its outcome is known.
const RESEND_LOAD_LIMIT: Permille = Permille(750);

copy_data! {
    /// Why a try ended without an answer for the caller.
    pub enum AttemptFailure {
        /// The target itself refused the request without running it.
        Shed,
        /// No byte of the request was handed to a connection.
        NotSent,
        /// The connection ended after the request was sent.
        Lost,
        /// A gateway nearer to the failure gave up; its answer was passed on.
        Relayed,
        /// The deadline for the answer passed.
        TimedOut,
    }
}

impl AttemptFailure {
    /// Returns whether this layer may try again.
    ///
    /// Only the layer nearest to the failure does, so retries do not multiply along a chain
    /// of calls. A request whose outcome is unknown is sent again only if it `is_safe`.
    #[must_use]
    pub const fn is_retryable(self, is_safe: bool) -> bool {
        match self {
            Self::Shed | Self::NotSent => true,
            Self::Lost => is_safe,
            Self::Relayed | Self::TimedOut => false,
        }
    }
}

/// Retries of one service at one gateway.
///
/// In any span the retries stay under `share` of the calls begun in it, plus a small burst
/// and a floor of one a second.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::budget::RetryBudget;
/// use ibiscroft_core::ids::Permille;
///
/// let budget = RetryBudget::new(Permille(100));
/// for _ in 0..10 {
///     budget.record_call();
/// }
/// assert!(budget.try_retry(Tick::ZERO));
/// assert!(!budget.try_resend(Tick::ZERO, Permille(900)));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    share: Permille,
    balance: AtomicU64,
    floor: TokenBucket,
}

impl RetryBudget {
    /// Largest number of retries beyond the share in any span, without the floor's rate.
    pub const BURST: u64 = MAX_BALANCE / RETRY_COST + FLOOR_BURST as u64;
    /// Retries a second that are allowed without any calls.
    pub const FLOOR: PerSecond = FLOOR;

    /// Makes a budget without balance that allows `share` of the calls to be retried.
    #[must_use]
    pub fn new(share: Permille) -> Self {
        let floor = TokenBucket::new(FLOOR, FLOOR_BURST);
        Self { share, balance: AtomicU64::new(0), floor }
    }

    /// Counts a call, not its retries.
    pub fn record_call(&self) {
        let share = u64::from(self.share.get());
        let add = |balance: u64| Some((balance + share).min(MAX_BALANCE));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes a retry of a failed try if the budget allows one.
    #[must_use]
    pub fn try_retry(&self, now: Tick) -> bool {
        let take = |balance: u64| balance.checked_sub(RETRY_COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
            || self.floor.try_take(now)
    }

    /// Takes a resend of a try that may still be answered.
    ///
    /// Refused while the service's measured `load` is high: there it only adds to the load.
    #[must_use]
    pub fn try_resend(&self, now: Tick, load: Permille) -> bool {
        load < RESEND_LOAD_LIMIT && self.try_retry(now)
    }
}

/// What one service at one gateway may spend on trying again.
///
/// Moves after a refusal cost a round trip and no work, so they have a larger share than
/// retries.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::budget::{AttemptFailure, ServiceRetryBudget};
/// use ibiscroft_core::ids::Permille;
///
/// let budget = ServiceRetryBudget::new(Permille(100));
/// budget.record_call();
/// assert!(budget.try_retry(AttemptFailure::Shed, false, Tick::ZERO));
/// assert!(!budget.try_retry(AttemptFailure::Lost, false, Tick::ZERO));
/// assert!(!budget.try_retry(AttemptFailure::Relayed, true, Tick::ZERO));
/// ```
#[derive(Debug)]
pub struct ServiceRetryBudget {
    moves: RetryBudget,
    retries: RetryBudget,
}

impl ServiceRetryBudget {
    /// Makes a budget whose retries are `share` of the calls.
    #[must_use]
    pub fn new(share: Permille) -> Self {
        Self { moves: RetryBudget::new(MOVE_SHARE), retries: RetryBudget::new(share) }
    }

    /// Counts a call, not its further tries.
    pub fn record_call(&self) {
        self.moves.record_call();
        self.retries.record_call();
    }

    /// Takes a further try after `failure` if the rules and the budget allow one.
    #[must_use]
    pub fn try_retry(&self, failure: AttemptFailure, is_safe: bool, now: Tick) -> bool {
        if !failure.is_retryable(is_safe) {
            return false;
        }
        match failure {
            AttemptFailure::Shed => self.moves.try_retry(now),
            _ => self.retries.try_retry(now),
        }
    }

    /// Takes a resend of a try that may still be answered, see [`RetryBudget::try_resend`].
    #[must_use]
    pub fn try_resend(&self, now: Tick, load: Permille) -> bool {
        self.retries.try_resend(now, load)
    }
}
