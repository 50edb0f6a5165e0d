//! The monotonic clock of the process.

use std::time::Instant;

use ibiscroft_core::Tick;

/// Reads monotonic time as ticks since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Starts a clock at its origin.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the present instant.
    pub(crate) fn now(self) -> Tick {
        Tick::ZERO + self.0.elapsed()
    }

    /// Returns the runtime's instant of a tick.
    pub(crate) fn instant(self, tick: Tick) -> tokio::time::Instant {
        (self.0 + tick.since(Tick::ZERO)).into()
    }
}
