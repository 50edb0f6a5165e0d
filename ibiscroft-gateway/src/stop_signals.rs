//! Signals that ask for a planned stop.

use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::events::event;

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes over the handling of both signals.
    ///
    /// # Errors
    ///
    /// Returns why a handler cannot be installed.
    pub(crate) fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("handler of SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("handler of SIGINT")?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Logs further signals, which change nothing.
    pub(crate) async fn ignore_further(mut self) {
        loop {
            self.wait().await;
            event!(StopRepeated, "requests in flight go on");
        }
    }
}
