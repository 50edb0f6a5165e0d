//! Stand-in backend server: runs requests in slots and counts what it received.
//!
//! Its counters decide whether a promise was kept; a gateway's own word does not.

mod admin;
mod answer;
mod api;
mod cold_start;
mod control;
mod counters;
mod drain;
mod executions;
mod journal;
mod noise;
mod options;
mod pattern;
mod polls;
mod range;
mod shared;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr};

use crate::server::{RunningServer, ServerControl};

pub use cold_start::ColdStart;
pub use control::{BackendControl, ResponseFaults};
pub use counters::BackendCounters;
pub use drain::Drain;
pub use executions::{CALL_HEADER, Executions};
pub use journal::{JournalEntry, read_journal};
pub use noise::{Noise, NoiseOptions};
pub use options::{BackendOptions, CrashMode};
pub use pattern::Pattern;
pub use range::{ByteRange, RangeOutcome, requested_range};

/// The stand-in backend server.
#[derive(Clone, Copy, Debug)]
pub struct Backend;

impl Backend {
    /// Starts a backend server in cold start.
    ///
    /// # Errors
    ///
    /// Returns which address cannot be bound, or why the journal cannot be written.
    pub async fn start(options: BackendOptions) -> Result<RunningBackend> {
        let control = ServerControl::default();
        let (listen, admin) = (options.listen, options.admin);
        let shared = Arc::new(shared::Shared::new(options, control.clone())?);
        let server = RunningServer::start(listen, control, api::endpoint(shared.clone()))
            .await
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        let admin =
            RunningServer::start(admin, ServerControl::default(), admin::endpoint(shared.clone()))
                .await
                .wrap_err_with(|| format!("cannot listen on {admin}"))?;
        Ok(RunningBackend { shared, server, admin })
    }
}

/// A backend server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningBackend {
    shared: Arc<shared::Shared>,
    server: RunningServer,
    admin: RunningServer,
}

impl RunningBackend {
    /// Returns the address for requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for control and counters.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns what the backend server received and ran.
    #[must_use]
    pub fn counters(&self) -> BackendCounters {
        self.shared.counters()
    }

    /// Returns how often a request with this idempotency key ran.
    #[must_use]
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.shared.lock().executions.executions_of_key(key)
    }

    /// Changes the fields of the control that are present.
    pub fn control(&self, control: &BackendControl) {
        self.shared.apply(control);
    }

    /// Sets all counters to zero.
    pub fn reset(&self) {
        self.shared.reset();
    }

    /// Closes every connection and begins a new run in cold start.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Stops listening and closes every connection.
    pub async fn stop(mut self) {
        self.server.stop().await;
        self.admin.stop().await;
    }
}
