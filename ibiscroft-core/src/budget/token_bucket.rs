//! A rate limit with a burst.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Tick;
use crate::ids::PerSecond;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Allows `rate` events a second on average and `burst` at once.
///
/// In any span `t` it allows at most `burst + rate * t` events, also when threads race or
/// pass instants out of order.
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
/// assert_eq!(bucket.wait(now).unwrap().as_millis(), 100);
/// ```
#[derive(Debug)]
pub struct TokenBucket {
    interval: Option<u64>,
    tolerance: u64,
    /// When the bucket is full again, in microseconds.
    full_at: AtomicU64,
}

impl TokenBucket {
    /// Makes a full bucket; a rate or a burst of zero allows nothing.
    #[must_use]
    pub fn new(rate: PerSecond, burst: u32) -> Self {
        let rate = u64::from(rate.get());
        let interval = (rate > 0 && burst > 0).then(|| MICROS_PER_SECOND.div_ceil(rate.max(1)));
        let tolerance = interval.unwrap_or(0) * u64::from(burst.saturating_sub(1));
        Self { interval, tolerance, full_at: AtomicU64::new(0) }
    }

    /// Makes an empty bucket, which fills from `now` on.
    #[must_use]
    pub fn empty(rate: PerSecond, burst: u32, now: Tick) -> Self {
        let bucket = Self::new(rate, burst);
        let span = bucket.tolerance + bucket.interval.unwrap_or(0);
        bucket.full_at.store(now.as_micros().saturating_add(span), Ordering::Relaxed);
        bucket
    }

    /// Takes a token if there is one.
    #[must_use]
    pub fn try_take(&self, now: Tick) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        let now = now.as_micros();
        let take = |full_at: u64| {
            let start = full_at.max(now);
            (start - now <= self.tolerance).then(|| start.saturating_add(interval))
        };
        self.full_at.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Returns the time until a token is there, `None` when there will never be one.
    #[must_use]
    pub fn wait(&self, now: Tick) -> Option<Duration> {
        self.interval?;
        let full_at = self.full_at.load(Ordering::Relaxed);
        let ready_at = full_at.saturating_sub(self.tolerance);
        Some(Tick::from_micros(ready_at).since(now))
    }
}
