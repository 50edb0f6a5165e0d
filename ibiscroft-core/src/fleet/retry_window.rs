//! One gateway's share of the fleet's retry budget.

use std::collections::VecDeque;
use std::time::Duration;

use super::target::GatewayCount;
use crate::Tick;

/// Number of buckets in which the requests of a window are counted.
const BUCKETS: u32 = 20;
/// Fraction of the fleet's budget that is used; the rest covers gateways whose view is older.
const USED_FRACTION: f64 = 0.93;

/// Retry limits of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition, even without any requests.
    pub floor: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Tick,
    requests: u32,
    retries: u32,
}

/// Retries of one service at one gateway within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    limits: RetryLimits,
    /// Added to the number of allowed retries before it is rounded down.
    lot: f64,
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Creates an empty window.
    ///
    /// `lot`, in 0..1, decides whether the fraction of a retry in this gateway's share is rounded
    /// up or down. If the lots of a fleet are evenly distributed, its gateways together make as
    /// many retries as they are allowed, also if each has a share of only a few.
    #[must_use]
    pub fn new(limits: RetryLimits, lot: f64) -> Self {
        Self { limits, lot: lot.clamp(0.0, 1.0), buckets: VecDeque::new() }
    }

    /// Counts a request; retries of it are not counted here.
    pub fn note_request(&mut self, now: Tick) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry if this gateway's share of the budget allows it; returns whether it does.
    ///
    /// The floor is divided among `gateways`. The fraction `reserve` of the budget, in 0..1, is
    /// kept for retries of higher priority.
    pub fn try_retry(&mut self, now: Tick, gateways: GatewayCount, reserve: f64) -> bool {
        let floor = self.limits.floor / f64::from(gateways.get().max(1));
        self.bucket(now);
        let window = self.limits.window;
        let is_recent = |bucket: &&Bucket| now.since(bucket.start) <= window;
        let requests: u32 =
            self.buckets.iter().filter(is_recent).map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed =
            (f64::from(requests) * self.limits.ratio + floor) * USED_FRACTION * (1.0 - reserve);
        if f64::from(retries) + 1.0 > allowed + self.lot {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the bucket for `now` and removes outdated ones.
    fn bucket(&mut self, now: Tick) -> &mut Bucket {
        let window = self.limits.window;
        // A bucket that started before the window may hold retries that lie within it.
        let retention = window + window / BUCKETS;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > retention) {
            self.buckets.pop_front();
        }
        let is_current =
            self.buckets.back().is_some_and(|bucket| now.since(bucket.start) < window / BUCKETS);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
