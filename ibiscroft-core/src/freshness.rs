//! How long the registers in force may still be relied on.
//!
//! A gateway that was paused must not send work on a state that changed meanwhile. Each proof
//! that the state was the newest extends a deadline; the request path checks the deadline right
//! before it sends. A proof counts from the instant at which it was asked for, so an answer that
//! waited in a socket during a pause proves nothing about the time of the pause.

use std::time::Duration;

use crate::copy_data;
use crate::time::Tick;

/// Time for which an answer of the store proves the state.
pub const STORE_PROOF: Duration = Duration::from_millis(2_500);
/// Time for which a peer's answer proves the state; shorter, as the peer heard of it later.
pub const PEER_PROOF: Duration = Duration::from_millis(1_500);
/// Time without ticks after which this gateway counts as having been paused.
pub const PAUSE_GAP: Duration = Duration::from_millis(400);
/// Time awake after which a gateway's word proves something to its peers.
pub const SETTLED_AFTER: Duration = Duration::from_millis(1_000);
/// Time awake without any proof after which a gateway goes on with the last known state.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(1_400);
/// Time for which an isolated gateway goes on at each tick.
pub const ISOLATED_STEP: Duration = Duration::from_millis(300);

copy_data! {
    /// Whether the registers in force may be relied on.
    pub enum FreshnessStatus {
        /// The store or a peer confirmed the state a short while ago.
        Confirmed,
        /// No proof is recent enough; no new work is sent.
        Unconfirmed,
        /// Neither the store nor any peer answers; the last known state goes on.
        Isolated,
    }
}

/// Tracks the deadline up to which the state is proven.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::freshness::{Freshness, STORE_PROOF};
///
/// let mut freshness = Freshness::new(Tick::ZERO);
/// freshness.on_store_proof(Tick::from_millis(10), Tick::from_millis(12));
/// assert_eq!(freshness.deadline(), Tick::from_millis(10) + STORE_PROOF);
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    deadline: Tick,
    awake_since: Tick,
    last_tick: Tick,
    last_proof: Tick,
    is_proven_once: bool,
}

impl Freshness {
    /// Starts without any proof.
    #[must_use]
    pub const fn new(now: Tick) -> Self {
        Self {
            deadline: now,
            awake_since: now,
            last_tick: now,
            last_proof: now,
            is_proven_once: false,
        }
    }

    /// Returns the instant after which no new work may be sent.
    #[must_use]
    pub const fn deadline(&self) -> Tick {
        self.deadline
    }

    /// Returns whether any proof was ever heard.
    #[must_use]
    pub const fn is_proven_once(&self) -> bool {
        self.is_proven_once
    }

    /// Returns when this gateway started, or when its last pause ended.
    #[must_use]
    pub const fn awake_since(&self) -> Tick {
        self.awake_since
    }

    /// Returns for how long this gateway has run without a pause.
    #[must_use]
    pub const fn awake_for(&self, now: Tick) -> Duration {
        now.since(self.awake_since)
    }

    /// Returns whether the state may be relied on.
    #[must_use]
    pub fn status(&self, now: Tick) -> FreshnessStatus {
        if now > self.deadline {
            return FreshnessStatus::Unconfirmed;
        }
        if self.quiet_for(now) >= ISOLATED_AFTER {
            FreshnessStatus::Isolated
        } else {
            FreshnessStatus::Confirmed
        }
    }

    /// Notes that time passed; returns whether this gateway was paused meanwhile.
    ///
    /// To be called several times within [`PAUSE_GAP`] and before any other event is taken in.
    pub fn on_tick(&mut self, now: Tick) -> bool {
        let was_paused = now.since(self.last_tick) > PAUSE_GAP;
        if was_paused {
            self.awake_since = now;
        }
        self.last_tick = now;
        if self.quiet_for(now) >= ISOLATED_AFTER {
            self.deadline = self.deadline.max(now + ISOLATED_STEP);
        }
        was_paused
    }

    /// Notes that the store confirmed the state in an answer to a call made at `asked_at`.
    pub fn on_store_proof(&mut self, asked_at: Tick, now: Tick) {
        self.prove(asked_at + STORE_PROOF, now);
    }

    /// Notes that a peer confirmed the state in an answer to a call made at `asked_at`.
    ///
    /// A peer that was itself paused until lately proves nothing.
    pub fn on_peer_proof(&mut self, asked_at: Tick, now: Tick, peer_awake: Duration) {
        if peer_awake >= SETTLED_AFTER {
            self.prove(asked_at + PEER_PROOF, now);
        }
    }

    fn prove(&mut self, until: Tick, now: Tick) {
        if until <= now {
            return;
        }
        self.last_proof = now;
        self.is_proven_once = true;
        self.deadline = self.deadline.max(until);
    }

    /// Returns for how long this gateway was awake and heard no proof.
    fn quiet_for(&self, now: Tick) -> Duration {
        now.since(self.awake_since.max(self.last_proof))
    }
}
