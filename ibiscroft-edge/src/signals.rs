//! Signals to the process.

use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What the daemon does on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Stop,
    /// Read the settings file again (SIGHUP).
    Reload,
}

/// Streams of the signals that the daemon handles.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot install a handler.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("install handler for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("install handler for SIGINT")?,
            hang_up: signal(SignalKind::hangup()).wrap_err("install handler for SIGHUP")?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hang_up.recv() => SignalAction::Reload,
        }
    }
}
