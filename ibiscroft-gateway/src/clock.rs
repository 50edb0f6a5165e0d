//! Monotonic clock of the process.

use std::time::Instant;

use ibiscroft_core::Tick;

/// Reads the system's monotonic clock as [`Tick`]s.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock that counts from now; tick zero is the present instant.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was started, as a tick.
    #[must_use]
    pub fn now(self) -> Tick {
        Tick::ZERO + self.origin.elapsed()
    }
}
