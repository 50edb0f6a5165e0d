//! Time, rate and size limits of claims.

use std::time::Duration;

use super::{PageId, TimedKey, UnixMillis};
use crate::copy_data;
use crate::ids::PerSecond;

copy_data! {
    /// Time, rate and size limits of the claims of one gateway.
    ///
    /// `slot`, `shards` and `max_key_age` must be the same at all gateways.
    pub struct ClaimLimits {
        /// Length of the time slot that one page covers.
        pub slot: Duration,
        /// Number of pages, one for each key shard, in a time slot.
        pub shards: u32,
        /// Age above which keys are refused as expired.
        pub max_key_age: Duration,
        /// Age at which pages are deleted. Wall clocks may differ by as much as this exceeds
        /// `max_key_age`.
        pub page_retention: Duration,
        /// How far the time in a key may be ahead of the wall clock.
        pub max_clock_skew: Duration,
        /// Page writes per second that this gateway may send to the store.
        pub writes_per_second: PerSecond,
        /// Number of writes that may follow each other without delay after an idle time.
        pub write_burst: u32,
        /// Time after which a request is refused when its claim is not confirmed.
        pub claim_timeout: Duration,
        /// Longest wait for the outcome of an earlier request with the same key.
        pub outcome_timeout: Duration,
        /// Time between two reads of a page while waiting for the outcome of an earlier request.
        pub poll_interval: Duration,
        /// How long the write of an outcome is delayed so that it can share a write with other
        /// claims of its page.
        pub outcome_write_delay: Duration,
        /// Time after the deadline of a request at which a claim without outcome counts as
        /// unknown.
        pub unknown_grace_period: Duration,
        /// Age up to which a cached page is written without reading it again first.
        pub cache_validity: Duration,
        /// Backoff after a failed store call for a page. It doubles with each further failure, up
        /// to a limit.
        pub failure_backoff: Duration,
        /// Number of claims that may be waiting, running or without a recorded outcome at once.
        pub max_open_claims: usize,
        /// Size in bytes above which a page accepts no new claims.
        pub max_page_bytes: usize,
        /// Size in bytes above which no more response bodies are stored in a page.
        pub max_page_bytes_for_bodies: usize,
        /// Largest response body, in bytes, that is stored.
        pub max_stored_body_bytes: usize,
        /// Time after which an unused page is dropped from memory.
        pub idle_page_retention: Duration,
    }
}

/// Page writes per second that all gateways together may send to the store.
const FLEET_WRITES_PER_SECOND: u32 = 200;

impl ClaimLimits {
    /// Returns the limits of one gateway out of `gateways` that share the store.
    ///
    /// ```
    /// use ibiscroft_core::claims::ClaimLimits;
    ///
    /// assert_eq!(ClaimLimits::for_fleet(18).writes_per_second.get(), 11);
    /// ```
    #[must_use]
    pub fn for_fleet(gateways: u32) -> Self {
        let share = (FLEET_WRITES_PER_SECOND / gateways.max(1)).max(1);
        Self {
            slot: Duration::from_secs(4),
            shards: 4,
            max_key_age: Duration::from_hours(24),
            page_retention: Duration::from_hours(30),
            max_clock_skew: Duration::from_mins(5),
            writes_per_second: PerSecond(share),
            write_burst: share.min(10),
            claim_timeout: Duration::from_secs(2),
            outcome_timeout: Duration::from_secs(10),
            poll_interval: Duration::from_millis(250),
            outcome_write_delay: Duration::from_millis(500),
            unknown_grace_period: Duration::from_secs(5),
            cache_validity: Duration::from_millis(20),
            failure_backoff: Duration::from_millis(100),
            max_open_claims: 4096,
            max_page_bytes: 900_000,
            max_page_bytes_for_bodies: 600_000,
            max_stored_body_bytes: 2048,
            idle_page_retention: Duration::from_secs(5),
        }
    }

    /// Returns the page that holds the claims on `key`.
    #[must_use]
    pub fn page_of(&self, key: &TimedKey) -> PageId {
        let shards = u64::from(self.shards.max(1));
        let shard = u32::try_from(key.hash() % shards).unwrap_or(0);
        PageId { slot: self.slot_of(key.time()), shard }
    }

    /// Returns the number of the time slot that contains `time`.
    #[must_use]
    pub fn slot_of(&self, time: UnixMillis) -> u64 {
        time.get() / millis(self.slot).max(1)
    }

    /// Returns the last time slot that lies wholly before the retention period at `wall`.
    #[must_use]
    pub fn last_slot_past_retention(&self, wall: UnixMillis) -> u64 {
        let cutoff = UnixMillis(wall.get().saturating_sub(millis(self.page_retention)));
        self.slot_of(cutoff).saturating_sub(1)
    }

    /// Returns whether a key with `time` is too old to be claimed at `wall`.
    #[must_use]
    pub fn is_expired(&self, time: UnixMillis, wall: UnixMillis) -> bool {
        time.get().saturating_add(millis(self.max_key_age)) < wall.get()
    }

    /// Returns whether the time of a key is too far ahead of `wall`.
    #[must_use]
    pub fn is_ahead(&self, time: UnixMillis, wall: UnixMillis) -> bool {
        time.get() > wall.get().saturating_add(millis(self.max_clock_skew))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
