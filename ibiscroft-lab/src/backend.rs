//! Stand-in backend server: runs requests in slots and counts what it received.
//!
//! Tests check the guarantees of the gateways against these counters, not against what the
//! gateways report.

mod admin;
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
mod response_body;
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
    /// Starts a backend server; it is cold unless its warm-up time is zero.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the journal cannot be opened for writing.
    pub async fn start(options: BackendOptions) -> Result<RunningBackend> {
        let control = ServerControl::default();
        let (listen, admin) = (options.listen, options.admin);
        let shared = Arc::new(shared::Shared::new(options, control.clone())?);
        let server = RunningServer::start(listen, control, api::endpoint(shared.clone()))
            .await
            .wrap_err_with(|| format!("cannot listen on {listen} for requests"))?;
        let admin =
            RunningServer::start(admin, ServerControl::default(), admin::endpoint(shared.clone()))
                .await
                .wrap_err_with(|| format!("cannot listen on {admin} for admin requests"))?;
        Ok(RunningBackend { shared, server, admin })
    }
}

/// A running backend server; stopped when dropped.
#[derive(Debug)]
pub struct RunningBackend {
    shared: Arc<shared::Shared>,
    server: RunningServer,
    admin: RunningServer,
}

impl RunningBackend {
    /// Returns the bound address for requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the bound address of the admin listener.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the counters since the start or the last reset.
    #[must_use]
    pub fn counters(&self) -> BackendCounters {
        self.shared.counters()
    }

    /// Returns how many requests with this idempotency key were executed.
    #[must_use]
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.shared.lock().executions.executions_of_key(key)
    }

    /// Applies the fields of `control` that are present.
    pub fn control(&self, control: &BackendControl) {
        self.shared.apply(control);
    }

    /// Sets all counters to zero.
    pub fn reset(&self) {
        self.shared.reset();
    }

    /// Closes every connection and starts a new run; it is cold unless the warm-up time is zero.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Stops both listeners and closes their connections.
    pub async fn stop(mut self) {
        self.server.stop().await;
        self.admin.stop().await;
    }
}
