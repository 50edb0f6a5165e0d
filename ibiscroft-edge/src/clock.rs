//! The monotonic clock of the process.

use std::time::Instant;

use ibiscroft_core::Tick;

/// A monotonic clock; its ticks count from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Creates a clock whose [`Tick::ZERO`] is now.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current tick.
    pub(crate) fn now(self) -> Tick {
        Tick::ZERO + self.0.elapsed()
    }

    /// Converts a tick to an instant for the timers of tokio.
    pub(crate) fn instant(self, tick: Tick) -> tokio::time::Instant {
        (self.0 + tick.since(Tick::ZERO)).into()
    }
}
