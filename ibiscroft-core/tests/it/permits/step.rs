//! Steps of the simulation: load, faults and time.

/// Point at which a gateway is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PausePoint {
    /// Immediately.
    Now,
    /// After it took its next event and read the clock, before it handles the event.
    Event,
    /// After the next check that a request may be sent, before the request is written.
    Send,
}

/// A step of the simulation, as recorded in traces.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub(crate) enum Step {
    /// Advances the clock.
    Advance { ms: u64 },
    /// Sets the chance that a gateway starts a request to a target in a clock step.
    Load { permille: u32 },
    /// Pauses a gateway.
    #[serde(rename = "freeze")]
    Pause { gateway: usize, at: PausePoint },
    /// Resumes a paused gateway.
    #[serde(rename = "thaw")]
    Resume { gateway: usize },
    /// Ends a gateway's process.
    Kill { gateway: usize },
    /// Starts a gateway that was killed.
    Start { gateway: usize },
    /// Makes the store unreachable or reachable, with a delay per message and a number of responses
    /// to writes that are lost.
    Store { down: bool, delay_ms: u64, lose_answers: u32 },
    /// Disconnects a gateway from the store, or reconnects it.
    Cut { gateway: usize, cut: bool },
    /// Restarts a target.
    Restart { target: usize },
    /// Puts a target back into cold start within its run.
    FallCold { target: usize },
    /// Sets the loss rate and the largest delay of messages between gateways.
    Peers { lose_permille: u32, delay_ms: u64 },
}
