//! Steps of the simulation and the state of its requests.

use ibiscroft_core::claims::ClaimVerdict;
use serde::{Deserialize, Serialize};

/// A step of the simulation, as recorded in traces.
///
/// `order` and `call` select one of the requests or store calls to which the step can apply,
/// modulo their number; without any, the step does nothing. `gateway` is taken modulo the number of
/// gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// A caller sends an at-most-once request to a gateway.
    Submit { gateway: usize, key: usize, body: u64 },
    /// A caller disconnects before the verdict.
    Withdraw { order: usize },
    /// A store call reaches the store and takes effect.
    Apply { call: usize },
    /// The response to a store call reaches its gateway.
    Deliver { call: usize },
    /// A store call times out at its gateway; it may still take effect later.
    TimeOut { call: usize },
    /// A store call that timed out is lost before it reaches the store.
    Drop { call: usize },
    /// A gateway sends a request to the backend server, which executes it.
    Send { order: usize },
    /// A gateway cannot connect to the backend server.
    ConnectFail { order: usize },
    /// The response to a sent request arrives.
    Answer { order: usize },
    /// The connection of a sent request is lost before the response.
    Lose { order: usize },
    /// A gateway is paused; its events are queued.
    Pause { gateway: usize },
    /// A paused gateway resumes and handles its queued events.
    Resume { gateway: usize },
    /// A gateway is killed and restarted.
    Kill { gateway: usize },
    /// Time passes.
    Advance { millis: u64 },
}

/// State of one at-most-once request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) gateway: usize,
    /// Run of the gateway that received the request.
    pub(crate) run: u64,
    pub(crate) key: usize,
    pub(crate) body: u64,
    pub(crate) verdict: Option<ClaimVerdict>,
    pub(crate) is_sent: bool,
    /// Whether the caller received a response which states that the request did not run.
    pub(crate) reported_not_run: bool,
    pub(crate) is_finished: bool,
}

impl Request {
    /// Returns whether the request may be sent and was not.
    pub(crate) fn is_ready(&self) -> bool {
        self.verdict == Some(ClaimVerdict::Proceed) && !self.is_sent && !self.is_finished
    }

    /// Returns whether the request was sent and has not ended.
    pub(crate) fn is_running(&self) -> bool {
        self.is_sent && !self.is_finished
    }
}

/// Returns whether `verdict` means that the request did not run.
pub(crate) fn means_not_run(verdict: &ClaimVerdict) -> bool {
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
