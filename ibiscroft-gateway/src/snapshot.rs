//! Immutable snapshots of the control state, which traffic threads read.

use std::sync::Arc;

use ibiscroft_core::budget::ServiceRetryBudget;
use ibiscroft_core::config::Service;
use ibiscroft_core::ids::{Generation, RunId, ServiceName};
use ibiscroft_core::selection::Pool;

use crate::liveness_connection::LivenessConnection;
use crate::service_admission::ServiceAdmission;

/// Control state that the control thread published.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Generation of the configuration in force; 0 when there is none.
    pub(crate) generation: Generation,
    /// Services in routing order.
    pub(crate) services: Vec<Arc<ServiceView>>,
}

/// State of one service and its targets.
#[derive(Debug)]
pub(crate) struct ServiceView {
    /// Configuration of the service.
    pub(crate) service: Service,
    /// The targets with their eligibility and load.
    pub(crate) pool: Pool,
    /// For each candidate of the pool, its run that is certified as warm, if any.
    pub(crate) warm_runs: Vec<Option<WarmRun>>,
    /// Retry budget of the service at this gateway, shared with earlier and later views.
    pub(crate) budget: Arc<ServiceRetryBudget>,
    /// Admission control of the service, shared with earlier and later views.
    pub(crate) admission: Arc<ServiceAdmission>,
}

/// A run of a target that is certified as warm.
#[derive(Clone, Debug)]
pub(crate) struct WarmRun {
    /// The run.
    pub(crate) run: RunId,
    /// Connection that is closed when the run ends; the certificate is valid while it is open.
    pub(crate) liveness: Arc<LivenessConnection>,
}

impl ServiceView {
    /// Returns the run of the candidate at `index` that is certified as warm, if its liveness
    /// connection is still open.
    pub(crate) fn warm_run(&self, index: usize) -> Option<&WarmRun> {
        self.warm_runs[index].as_ref().filter(|warm_run| warm_run.liveness.is_open())
    }
}

impl Snapshot {
    /// Creates the snapshot of a gateway with no configuration in force.
    pub(crate) fn empty() -> Self {
        Self { generation: Generation(0), services: Vec::new() }
    }

    /// Returns the view of a service.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceView>> {
        self.services.iter().find(|view| view.service.name == *name)
    }

    /// Returns the first service with a route that matches `host` and `path`.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<ServiceView>> {
        self.services
            .iter()
            .find(|view| view.service.routes.iter().any(|route| route.matches(host, path)))
    }
}
