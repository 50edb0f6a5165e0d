//! Limits of the claims of one gateway.

use std::time::Duration;

use super::{PageId, TimedKey, UnixMillis};
use crate::copy_data;
use crate::ids::PerSecond;

copy_data! {
    /// Limits of the claims of one gateway; all gateways must share `slot`, `shards` and
    /// `horizon`.
    pub struct ClaimLimits {
        /// Time slot that one page covers.
        pub slot: Duration,
        /// Pages of one time slot.
        pub shards: u32,
        /// Age at which keys are refused as expired.
        pub horizon: Duration,
        /// Age at which pages are deleted; clocks may differ by what it exceeds the horizon.
        pub retention: Duration,
        /// How far ahead of the wall clock a key's time may be.
        pub clock_skew: Duration,
        /// Store writes a second that this gateway may spend on claims.
        pub writes_per_second: PerSecond,
        /// Writes that may follow each other at once after a quiet time.
        pub write_burst: u32,
        /// Longest wait for the confirmation of a claim.
        pub claim_wait: Duration,
        /// Longest wait for the outcome of an earlier try with the same key.
        pub outcome_wait: Duration,
        /// Time between two looks at a page for the outcome of an earlier try.
        pub poll_interval: Duration,
        /// How long an outcome may wait to share a write with other claims.
        pub settle_delay: Duration,
        /// Time after an order's deadline at which its claim counts as unknown.
        pub unknown_grace: Duration,
        /// Age up to which a page in memory is written without reading it again.
        pub cache_trust: Duration,
        /// Pause after a failed store call.
        pub failure_backoff: Duration,
        /// Orders that may be claimed, sent or unsettled at once.
        pub max_orders: usize,
        /// Size in bytes above which a page accepts no new claims.
        pub max_page_bytes: usize,
        /// Size in bytes above which a page keeps no bodies of answers.
        pub max_page_bytes_for_bodies: usize,
        /// Largest kept body in bytes.
        pub max_stored_body_bytes: usize,
        /// Time after which an unused page is dropped from memory.
        pub page_idle: Duration,
    }
}

/// Store writes a second that all gateways together may spend on claims.
const FLEET_WRITES_PER_SECOND: u32 = 200;

impl ClaimLimits {
    /// Returns the limits of one of `gateways` gateways that share the store.
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
            horizon: Duration::from_hours(24),
            retention: Duration::from_hours(30),
            clock_skew: Duration::from_mins(5),
            writes_per_second: PerSecond(share),
            write_burst: share.min(10),
            claim_wait: Duration::from_secs(2),
            outcome_wait: Duration::from_secs(10),
            poll_interval: Duration::from_millis(250),
            settle_delay: Duration::from_millis(500),
            unknown_grace: Duration::from_secs(5),
            cache_trust: Duration::from_millis(20),
            failure_backoff: Duration::from_millis(100),
            max_orders: 4096,
            max_page_bytes: 900_000,
            max_page_bytes_for_bodies: 600_000,
            max_stored_body_bytes: 2048,
            page_idle: Duration::from_secs(5),
        }
    }

    /// Returns the page that holds the claims on `key`.
    #[must_use]
    pub fn page_of(&self, key: &TimedKey) -> PageId {
        let shards = u64::from(self.shards.max(1));
        let shard = u32::try_from(key.hash() % shards).unwrap_or(0);
        PageId { slot: self.slot_of(key.time()), shard }
    }

    /// Returns the time slot that `time` falls into.
    #[must_use]
    pub fn slot_of(&self, time: UnixMillis) -> u64 {
        time.get() / millis(self.slot).max(1)
    }

    /// Returns the last time slot whose pages are no longer needed at `wall`.
    #[must_use]
    pub fn last_slot_past_retention(&self, wall: UnixMillis) -> u64 {
        let border = UnixMillis(wall.get().saturating_sub(millis(self.retention)));
        self.slot_of(border).saturating_sub(1)
    }

    /// Returns whether a key of `time` is too old to be claimed at `wall`.
    #[must_use]
    pub fn is_expired(&self, time: UnixMillis, wall: UnixMillis) -> bool {
        time.get().saturating_add(millis(self.horizon)) < wall.get()
    }

    /// Returns whether a key of `time` lies too far ahead of `wall`.
    #[must_use]
    pub fn is_ahead(&self, time: UnixMillis, wall: UnixMillis) -> bool {
        time.get() > wall.get().saturating_add(millis(self.clock_skew))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
