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
    /// Address of the admin listener, for faults and counters.
    pub admin: SocketAddr,
    /// Delay until the instance list shows a change.
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
    /// Returns an error if an address cannot be bound.
    pub async fn start(options: StoreOptions) -> Result<RunningStore> {
        let control = ServerControl::default();
        let shared =
            Arc::new(shared::Shared::new(control.connections.clone(), options.instance_list_lag));
        let server = RunningServer::start(options.listen, control, api::endpoint(shared.clone()))
            .await
            .wrap_err_with(|| format!("cannot listen on {} for store requests", options.listen))?;
        let admin = RunningServer::start(
            options.admin,
            ServerControl::default(),
            admin::endpoint(shared.clone()),
        )
        .await
        .wrap_err_with(|| format!("cannot listen on {} for admin requests", options.admin))?;
        let expiry = tokio::spawn(shared::expire_leases(shared.clone()));
        Ok(RunningStore { shared, server, admin, expiry })
    }
}

/// A running store; stopped when dropped.
#[derive(Debug)]
pub struct RunningStore {
    shared: Arc<shared::Shared>,
    server: RunningServer,
    admin: RunningServer,
    expiry: tokio::task::JoinHandle<()>,
}

impl RunningStore {
    /// Returns the bound address for gateways and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the bound address of the admin listener.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the active faults.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.shared.faults()
    }

    /// Sets the active faults. [`StoreFaults::down`] closes the open connections.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.set_faults(faults);
    }

    /// Takes a snapshot of the current state for [`Self::roll_back`].
    pub fn take_snapshot(&self) {
        self.shared.take_snapshot();
    }

    /// Restores the snapshot; returns whether one was taken.
    pub fn roll_back(&self) -> bool {
        self.shared.roll_back()
    }

    /// Replaces the instance list; readers see it after [`StoreOptions::instance_list_lag`].
    pub fn set_instances(&self, list: InstanceList) {
        self.shared.set_instances(list);
    }

    /// Returns the number of calls by kind.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.shared.counters()
    }

    /// Stops both listeners and closes their connections.
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
