//! Whether the registers in force are recent enough to act on.
//!
//! A gateway that was paused must not send work based on a state that changed during the pause.
//! The state is confirmed when a response of the store or of a peer shows that it was the newest.
//! Each confirmation extends a deadline, which the request path checks right before it sends.
//! The validity of a confirmation starts when its request was sent. A response that waited in a
//! socket buffer during a pause therefore confirms nothing about the time of the pause.

use std::time::Duration;

use crate::copy_data;
use crate::time::Tick;

/// Time for which a response of the store confirms the state, counted from the request.
pub const STORE_CONFIRMATION_VALIDITY: Duration = Duration::from_millis(2_500);
/// Time for which a response of a peer confirms the state, counted from the request.
///
/// Shorter than for the store, because a peer learns of a change later than the store.
pub const PEER_CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time between two ticks above which this gateway counts as having been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
/// Time that a peer must have run without a pause before its responses confirm the state.
pub const MIN_PEER_RUNNING_TIME: Duration = Duration::from_millis(1_000);
/// Time without a pause and without a confirmation after which this gateway counts as isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time by which each tick of an isolated gateway extends the deadline.
pub const ISOLATED_EXTENSION: Duration = Duration::from_millis(300);

copy_data! {
    /// Whether the registers in force are recent enough to act on.
    pub enum FreshnessStatus {
        /// The store or a peer confirmed the state recently.
        Confirmed,
        /// The last confirmation is too old; no new work is sent.
        Unconfirmed,
        /// Neither the store nor any peer responds; work continues on the last known state.
        Isolated,
    }
}

/// Tracks the deadline up to which the state counts as recent.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::freshness::{Freshness, STORE_CONFIRMATION_VALIDITY};
///
/// let mut freshness = Freshness::new(Tick::ZERO);
/// freshness.on_store_confirmation(Tick::from_millis(10), Tick::from_millis(12));
/// assert_eq!(freshness.deadline(), Tick::from_millis(10) + STORE_CONFIRMATION_VALIDITY);
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    deadline: Tick,
    running_since: Tick,
    last_tick: Tick,
    last_confirmation: Tick,
    was_confirmed: bool,
}

impl Freshness {
    /// Creates the state of a gateway that starts at `now`, without any confirmation.
    #[must_use]
    pub const fn new(now: Tick) -> Self {
        Self {
            deadline: now,
            running_since: now,
            last_tick: now,
            last_confirmation: now,
            was_confirmed: false,
        }
    }

    /// Returns the instant after which no new work may be sent.
    #[must_use]
    pub const fn deadline(&self) -> Tick {
        self.deadline
    }

    /// Returns whether the state was confirmed at least once since the start.
    #[must_use]
    pub const fn was_confirmed(&self) -> bool {
        self.was_confirmed
    }

    /// Returns when this gateway started, or when its last pause ended.
    #[must_use]
    pub const fn running_since(&self) -> Tick {
        self.running_since
    }

    /// Returns how long this gateway has run without a pause.
    #[must_use]
    pub const fn running_for(&self, now: Tick) -> Duration {
        now.since(self.running_since)
    }

    /// Returns whether the state is recent enough to act on.
    #[must_use]
    pub fn status(&self, now: Tick) -> FreshnessStatus {
        if now > self.deadline {
            return FreshnessStatus::Unconfirmed;
        }
        if self.unconfirmed_for(now) >= ISOLATION_TIMEOUT {
            FreshnessStatus::Isolated
        } else {
            FreshnessStatus::Confirmed
        }
    }

    /// Advances the time to `now`; returns whether this gateway was paused since the last call.
    ///
    /// Call this several times within [`PAUSE_THRESHOLD`], and before handling any other event.
    /// An isolated gateway extends its deadline here.
    pub fn on_tick(&mut self, now: Tick) -> bool {
        let was_paused = now.since(self.last_tick) > PAUSE_THRESHOLD;
        if was_paused {
            self.running_since = now;
        }
        self.last_tick = now;
        if self.unconfirmed_for(now) >= ISOLATION_TIMEOUT {
            self.deadline = self.deadline.max(now + ISOLATED_EXTENSION);
        }
        was_paused
    }

    /// Handles a response of the store that confirms the state; the request was sent at `sent_at`.
    pub fn on_store_confirmation(&mut self, sent_at: Tick, now: Tick) {
        self.confirm_until(sent_at + STORE_CONFIRMATION_VALIDITY, now);
    }

    /// Handles a response of a peer that confirms the state; the request was sent at `sent_at`.
    ///
    /// The response is ignored if the peer has run for less than [`MIN_PEER_RUNNING_TIME`]: it was
    /// itself paused until recently, so its own state may be out of date.
    pub fn on_peer_confirmation(&mut self, sent_at: Tick, now: Tick, peer_running_for: Duration) {
        if peer_running_for >= MIN_PEER_RUNNING_TIME {
            self.confirm_until(sent_at + PEER_CONFIRMATION_VALIDITY, now);
        }
    }

    /// Extends the deadline to `until`, unless that has already passed.
    fn confirm_until(&mut self, until: Tick, now: Tick) {
        if until <= now {
            return;
        }
        self.last_confirmation = now;
        self.was_confirmed = true;
        self.deadline = self.deadline.max(until);
    }

    /// Returns how long this gateway has run without a pause and without a confirmation.
    fn unconfirmed_for(&self, now: Tick) -> Duration {
        now.since(self.running_since.max(self.last_confirmation))
    }
}
