//! Stand-in for the platform's key-value service and instance list.

mod admin;
mod api;
mod counters;
mod faults;
mod instances;
mod leases;
mod shared;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use ibiscroft_wire::generated::store::InstanceList;

use crate::server::{RunningServer, ServerControl};

pub use counters::StoreCounters;
pub use faults::StoreFaults;
pub use leases::LeaseId;
pub use state::{PutError, StoreState};

/// Options of the stand-in store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Address for gateways and operators.
    pub listen: SocketAddr,
    /// Address for faults and counters.
    pub admin: SocketAddr,
    /// How much later the instance list shows a change.
    pub instance_list_lag: Duration,
}

impl Default for StoreOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { listen: any_port, admin: any_port, instance_list_lag: Duration::ZERO }
    }
}

/// The stand-in store.
#[derive(Clone, Copy, Debug)]
pub struct Store;

impl Store {
    /// Starts a store with no keys.
    ///
    /// # Errors
    ///
    /// Returns which address cannot be bound.
    pub async fn start(options: StoreOptions) -> Result<RunningStore> {
        let control = ServerControl::default();
        let shared =
            Arc::new(shared::Shared::new(control.connections.clone(), options.instance_list_lag));
        let server = RunningServer::start(options.listen, control, api::endpoint(shared.clone()))
            .await
            .wrap_err_with(|| format!("cannot listen on {}", options.listen))?;
        let admin = RunningServer::start(
            options.admin,
            ServerControl::default(),
            admin::endpoint(shared.clone()),
        )
        .await
        .wrap_err_with(|| format!("cannot listen on {}", options.admin))?;
        let expiry = tokio::spawn(shared::expire_leases(shared.clone()));
        Ok(RunningStore { shared, server, admin, expiry })
    }
}

/// A store that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningStore {
    shared: Arc<shared::Shared>,
    server: RunningServer,
    admin: RunningServer,
    expiry: tokio::task::JoinHandle<()>,
}

impl RunningStore {
    /// Returns the address for gateways and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for faults and counters.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.shared.faults()
    }

    /// Puts `faults` in force; a store that goes down closes its connections.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    /// Keeps a copy of the present state for [`Self::roll_back`].
    pub fn take_snapshot(&self) {
        self.shared.take_snapshot();
    }

    /// Goes back to the snapshot, and returns whether there is one.
    pub fn roll_back(&self) -> bool {
        self.shared.roll_back()
    }

    /// Replaces the instance list; callers see it after the lag.
    pub fn set_instances(&self, list: InstanceList) {
        self.shared.set_instances(list);
    }

    /// Returns the calls received, by kind.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.shared.counters()
    }

    /// Stops listening and closes every connection.
    pub async fn stop(mut self) {
        self.server.stop().await;
        self.admin.stop().await;
    }
}

impl Drop for RunningStore {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}
