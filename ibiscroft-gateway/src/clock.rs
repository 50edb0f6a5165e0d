//! The daemon's monotonic clock.

use std::time::Instant;

use ibiscroft_core::Tick;

/// Converts between the system's monotonic clock and [`Tick`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Makes a clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the present instant.
    #[must_use]
    pub fn now(self) -> Tick {
        Tick::ZERO + self.origin.elapsed()
    }
}
