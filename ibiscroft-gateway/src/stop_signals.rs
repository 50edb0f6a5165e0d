//! Signals that start a graceful shutdown.

use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::events::event;

/// Receives SIGTERM and SIGINT.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs handlers for both signals in place of the default action, which ends the process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a handler cannot be installed.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())
                .wrap_err("failed to install the handler for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt())
                .wrap_err("failed to install the handler for SIGINT")?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Logs and ignores further signals; never returns.
    pub(crate) async fn ignore_further(mut self) {
        loop {
            self.wait().await;
            event!(StopRepeated, "graceful shutdown already in progress; signal ignored");
        }
    }
}
