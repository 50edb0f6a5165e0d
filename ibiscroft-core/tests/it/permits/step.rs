//! What happens to the world from outside.

/// Where a gateway freezes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FreezePoint {
    /// At once.
    Now,
    /// Between taking its next event with the clock, and handling it.
    Event,
    /// Between its next check and the write.
    Send,
}

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub(crate) enum Step {
    /// Lets time pass.
    Advance { ms: u64 },
    /// Sets the chance of a call per gateway, target and clock step.
    Load { permille: u32 },
    /// Freezes a gateway.
    Freeze { gateway: usize, at: FreezePoint },
    /// Lets a frozen gateway go on.
    Thaw { gateway: usize },
    /// Ends a gateway's process.
    Kill { gateway: usize },
    /// Starts a gateway that was ended.
    Start { gateway: usize },
    /// Makes the store unreachable or reachable again.
    Store { down: bool, delay_ms: u64, lose_answers: u32 },
    /// Cuts one gateway off from the store.
    Cut { gateway: usize, cut: bool },
    /// Restarts a target without warning.
    Restart { target: usize },
    /// Lets a target fall into cold start within one run.
    FallCold { target: usize },
    /// Loses and delays messages between gateways.
    Peers { lose_permille: u32, delay_ms: u64 },
}
