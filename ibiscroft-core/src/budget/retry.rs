//! Budgets that bound retries to a share of recent calls.

use std::sync::atomic::{AtomicU64, Ordering};

use super::token_bucket::TokenBucket;
use crate::ids::{PerSecond, Permille};
use crate::{Tick, copy_data};

/// Cost of one retry in thousandths of a token.
const RETRY_COST: u64 = 1_000;
/// Greatest balance in thousandths of a token.
const MAX_BALANCE: u64 = 20 * RETRY_COST;
/// Rate of retries that are allowed without any calls.
const MIN_RATE: PerSecond = PerSecond(1);
/// Burst of retries that is allowed without any calls.
const MIN_RATE_BURST: u32 = 3;
/// Retries after a shed request, as a share of calls.
const SHED_RETRY_SHARE: Permille = Permille(1_000);
/// Measured load at and above which no request is hedged.
const HEDGE_LOAD_LIMIT: Permille = Permille(750);

copy_data! {
    /// Why an attempt failed.
    pub enum AttemptFailure {
        /// The target shed the request, that is, rejected it without running it.
        Shed,
        /// No byte of the request was handed to a connection.
        NotSent,
        /// The connection ended after the request was sent.
        Lost,
        /// A gateway further along the chain of calls, nearer to the failure, could not complete
        /// the request, and its error response was relayed.
        Relayed,
        /// The deadline for the response passed.
        TimedOut,
    }
}

impl AttemptFailure {
    /// Returns whether this gateway may retry the request.
    ///
    /// Only the gateway nearest to the failure retries, so that retries do not multiply along
    /// a chain of calls. A request whose outcome is unknown is retried only if it
    /// `is_repeatable`.
    #[must_use]
    pub const fn is_retryable(self, is_repeatable: bool) -> bool {
        match self {
            Self::Shed | Self::NotSent => true,
            Self::Lost => is_repeatable,
            Self::Relayed | Self::TimedOut => false,
        }
    }
}

/// Budget for the retries of one service at one gateway.
///
/// In any span of time the retries are at most `share` of the calls that began in it, plus
/// [`RetryBudget::BURST`] retries and [`RetryBudget::MIN_RATE`] retries a second.
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
/// assert!(!budget.try_hedge(Tick::ZERO, Permille(900)));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    share: Permille,
    /// Tokens earned by calls, in thousandths.
    balance: AtomicU64,
    min_rate: TokenBucket,
}

impl RetryBudget {
    /// Largest number of retries in any span of time beyond the share and the minimum rate.
    pub const BURST: u64 = MAX_BALANCE / RETRY_COST + MIN_RATE_BURST as u64;
    /// Rate of retries that are allowed without any calls.
    pub const MIN_RATE: PerSecond = MIN_RATE;

    /// Creates a budget with an empty balance that allows `share` of the calls to be retried.
    #[must_use]
    pub fn new(share: Permille) -> Self {
        let min_rate = TokenBucket::new(MIN_RATE, MIN_RATE_BURST);
        Self { share, balance: AtomicU64::new(0), min_rate }
    }

    /// Adds the share of one call to the balance; a retry is not a call.
    pub fn record_call(&self) {
        let share = u64::from(self.share.get());
        let add = |balance: u64| Some((balance + share).min(MAX_BALANCE));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes a retry of a failed attempt; returns false when the budget allows none.
    #[must_use]
    pub fn try_retry(&self, now: Tick) -> bool {
        let take = |balance: u64| balance.checked_sub(RETRY_COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
            || self.min_rate.try_take(now)
    }

    /// Takes a hedged request, that is, a second attempt while the first may still succeed.
    ///
    /// Returns false when the budget allows none, or when the measured `load` of the service is
    /// high, as a hedged request would only add to it.
    #[must_use]
    pub fn try_hedge(&self, now: Tick, load: Permille) -> bool {
        load < HEDGE_LOAD_LIMIT && self.try_retry(now)
    }
}

/// Retry rules and budgets of one service at one gateway.
///
/// A retry after a shed request costs a round trip but no work at a target, so these retries
/// have a budget of their own with a larger share.
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
    shed_retries: RetryBudget,
    retries: RetryBudget,
}

impl ServiceRetryBudget {
    /// Creates a budget that allows `share` of the calls to be retried after a failure other
    /// than a shed request.
    #[must_use]
    pub fn new(share: Permille) -> Self {
        Self { shed_retries: RetryBudget::new(SHED_RETRY_SHARE), retries: RetryBudget::new(share) }
    }

    /// Adds the share of one call to the budgets; a retry is not a call.
    pub fn record_call(&self) {
        self.shed_retries.record_call();
        self.retries.record_call();
    }

    /// Takes a retry after `failure`; returns false when the rules or the budget allow none.
    ///
    /// `is_repeatable` states whether the request may run more than once.
    #[must_use]
    pub fn try_retry(&self, failure: AttemptFailure, is_repeatable: bool, now: Tick) -> bool {
        if !failure.is_retryable(is_repeatable) {
            return false;
        }
        match failure {
            AttemptFailure::Shed => self.shed_retries.try_retry(now),
            _ => self.retries.try_retry(now),
        }
    }

    /// Takes a hedged request, see [`RetryBudget::try_hedge`].
    #[must_use]
    pub fn try_hedge(&self, now: Tick, load: Permille) -> bool {
        self.retries.try_hedge(now, load)
    }
}
