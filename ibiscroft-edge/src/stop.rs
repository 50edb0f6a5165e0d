//! Signals of the platform.

use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// End the process gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals that the daemon listens to.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Listens to the signals.
    ///
    /// # Errors
    ///
    /// Returns why the process cannot listen.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("SIGINT")?,
            hang_up: signal(SignalKind::hangup()).wrap_err("SIGHUP")?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.hang_up.recv() => Asked::Reload,
        }
    }
}
