//! The immutable view of control state that traffic threads read.

use std::sync::Arc;

use ibiscroft_core::budget::ServiceRetryBudget;
use ibiscroft_core::config::Service;
use ibiscroft_core::ids::{Generation, RunId, ServiceName};
use ibiscroft_core::selection::Pool;

use crate::liveness_connection::LivenessConnection;
use crate::service_admission::ServiceAdmission;

/// What the control thread last published.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Generation of the configuration in force; 0 means none.
    pub(crate) generation: Generation,
    /// Services in routing order.
    pub(crate) services: Vec<Arc<ServiceView>>,
}

/// One service with its targets.
#[derive(Debug)]
pub(crate) struct ServiceView {
    /// The service as configured.
    pub(crate) service: Service,
    /// Targets with their state and load.
    pub(crate) pool: Pool,
    /// Proof that a target is warm, for each candidate of the pool.
    pub(crate) proofs: Vec<Option<WarmProof>>,
    /// Retries of the service at this gateway, shared with earlier and later views.
    pub(crate) budget: Arc<ServiceRetryBudget>,
    /// Requests that are sent or wait, shared with earlier and later views.
    pub(crate) admission: Arc<ServiceAdmission>,
}

/// Proof that a run of a target is warm.
#[derive(Clone, Debug)]
pub(crate) struct WarmProof {
    /// The run.
    pub(crate) run: RunId,
    /// Connection that the end of the run closes.
    pub(crate) liveness: Arc<LivenessConnection>,
}

impl ServiceView {
    /// Returns the proof that the candidate at `index` is warm, if it still holds.
    pub(crate) fn proof(&self, index: usize) -> Option<&WarmProof> {
        self.proofs[index].as_ref().filter(|proof| proof.liveness.is_open())
    }
}

impl Snapshot {
    /// Returns the view before any configuration is in force.
    pub(crate) fn empty() -> Self {
        Self { generation: Generation(0), services: Vec::new() }
    }

    /// Returns the present view of a service.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceView>> {
        self.services.iter().find(|view| view.service.name == *name)
    }

    /// Returns the service that a request belongs to.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<ServiceView>> {
        self.services
            .iter()
            .find(|view| view.service.routes.iter().any(|route| route.matches(host, path)))
    }
}
