//! Steps of the world and the orders of its callers.

use ibiscroft_core::claims::ClaimVerdict;
use serde::{Deserialize, Serialize};

/// One step; indices wrap around what there is, and a step without object does nothing.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// A caller sends an order.
    Submit { gateway: usize, key: usize, body: u64 },
    /// A caller goes away.
    Withdraw { order: usize },
    /// A call reaches the store and takes effect.
    Apply { call: usize },
    /// The answer of a call that took effect reaches its gateway.
    Deliver { call: usize },
    /// The gateway stops waiting for a call, which may still take effect later.
    TimeOut { call: usize },
    /// A call that nobody waits for is lost before it reaches the store.
    Drop { call: usize },
    /// An order goes out and runs.
    Send { order: usize },
    /// No connection could be opened for an order.
    ConnectFail { order: usize },
    /// The answer to a sent order arrives.
    Answer { order: usize },
    /// The connection of a sent order is lost.
    Lose { order: usize },
    /// A gateway freezes; what is meant for it waits.
    Pause { gateway: usize },
    /// A frozen gateway goes on.
    Resume { gateway: usize },
    /// A gateway is killed and another starts in its place.
    Kill { gateway: usize },
    /// Time goes on.
    Advance { millis: u64 },
}

/// What the callers of one order were told, and how far it got.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) gateway: usize,
    pub(crate) run: u64,
    pub(crate) key: usize,
    pub(crate) body: u64,
    pub(crate) verdict: Option<ClaimVerdict>,
    pub(crate) is_sent: bool,
    pub(crate) told_not_run: bool,
    pub(crate) is_over: bool,
}

impl Order {
    /// Returns whether the order may be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.verdict == Some(ClaimVerdict::Proceed) && !self.is_sent && !self.is_over
    }

    /// Returns whether the order was sent and has no end yet.
    pub(crate) fn is_running(&self) -> bool {
        self.is_sent && !self.is_over
    }
}

/// Returns whether `verdict` says that the order was not run.
pub(crate) fn is_not_run(verdict: &ClaimVerdict) -> bool {
    match verdict {
        ClaimVerdict::KeyReused
        | ClaimVerdict::KeyExpired
        | ClaimVerdict::KeyAhead
        | ClaimVerdict::Unavailable => true,
        ClaimVerdict::Proceed
        | ClaimVerdict::Replay(_)
        | ClaimVerdict::Unknown
        | ClaimVerdict::InProgress => false,
    }
}
