//! Token bucket: a rate limit that allows bursts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Tick;
use crate::ids::PerSecond;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Allows `rate` events a second on average and `burst` at once.
///
/// In any span of time `t` it allows at most `burst + rate * t` events, also when several
/// threads take tokens at once or pass instants out of order.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::budget::TokenBucket;
/// use ibiscroft_core::ids::PerSecond;
///
/// let bucket = TokenBucket::new(PerSecond(10), 2);
/// let now = Tick::from_millis(5);
/// assert!(bucket.try_take(now));
/// assert!(bucket.try_take(now));
/// assert!(!bucket.try_take(now));
/// assert_eq!(bucket.time_until_available(now).unwrap().as_millis(), 100);
/// ```
#[derive(Debug)]
pub struct TokenBucket {
    /// Time in which one token is added, in microseconds; `None` when none ever is.
    interval_us: Option<u64>,
    /// A token is available while the bucket needs at most this time, in microseconds, to be
    /// full again.
    tolerance_us: u64,
    /// When the bucket is full again, in microseconds.
    full_at_us: AtomicU64,
}

impl TokenBucket {
    /// Creates a full bucket; one with a rate or a burst of zero allows no event.
    #[must_use]
    pub fn new(rate: PerSecond, burst: u32) -> Self {
        let rate = u64::from(rate.get());
        let interval_us = (rate > 0 && burst > 0).then(|| MICROS_PER_SECOND.div_ceil(rate.max(1)));
        let tolerance_us = interval_us.unwrap_or(0) * u64::from(burst.saturating_sub(1));
        Self { interval_us, tolerance_us, full_at_us: AtomicU64::new(0) }
    }

    /// Creates a bucket that is empty at `now`.
    #[must_use]
    pub fn empty(rate: PerSecond, burst: u32, now: Tick) -> Self {
        let bucket = Self::new(rate, burst);
        let fill_time_us = bucket.tolerance_us + bucket.interval_us.unwrap_or(0);
        bucket.full_at_us.store(now.as_micros().saturating_add(fill_time_us), Ordering::Relaxed);
        bucket
    }

    /// Takes a token; returns false when there is none.
    #[must_use]
    pub fn try_take(&self, now: Tick) -> bool {
        let Some(interval_us) = self.interval_us else {
            return false;
        };
        let now = now.as_micros();
        let take = |full_at: u64| {
            let start = full_at.max(now);
            (start - now <= self.tolerance_us).then(|| start.saturating_add(interval_us))
        };
        self.full_at_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Returns the time from `now` until a token is available, zero when one is, and `None`
    /// when there will never be one.
    #[must_use]
    pub fn time_until_available(&self, now: Tick) -> Option<Duration> {
        self.interval_us?;
        let full_at = self.full_at_us.load(Ordering::Relaxed);
        let ready_at = full_at.saturating_sub(self.tolerance_us);
        Some(Tick::from_micros(ready_at).since(now))
    }
}
