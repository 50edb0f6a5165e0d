//! The immutable view of control state that traffic threads read.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use ibiscroft_core::config::{Service, Target};
use ibiscroft_core::ids::{Generation, ZoneName};

/// What the control thread last published.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Generation and change of the configuration in force; generation 0 means none.
    pub(crate) generation: Generation,
    /// Services in routing order.
    pub(crate) services: Vec<Arc<ServiceView>>,
}

/// One service with its targets.
#[derive(Debug)]
pub(crate) struct ServiceView {
    /// The service as configured.
    pub(crate) service: Service,
    /// Targets with their state, in the order of the configuration.
    pub(crate) targets: Vec<TargetView>,
    /// Availability zone of this instance.
    pub(crate) own_zone: ZoneName,
}

/// One target as selection sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetView {
    /// The target as configured.
    pub(crate) target: Target,
    /// Whether control allows new work.
    pub(crate) state: TargetState,
    /// Counters shared by all traffic threads and snapshots.
    pub(crate) counters: Arc<TargetCounters>,
}

/// Whether and why a target receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetState {
    /// Receives new work.
    Eligible,
    /// Its availability zone is out.
    ZoneOut,
    /// It leaves.
    Leaving,
    /// It refused connections lately.
    Unreachable,
}

/// Counters of one target at this gateway.
#[derive(Debug, Default)]
pub(crate) struct TargetCounters {
    in_flight: AtomicU32,
    leaving: AtomicBool,
}

impl Snapshot {
    /// Returns the view before any configuration is in force.
    pub(crate) fn empty() -> Self {
        Self { generation: Generation(0), services: Vec::new() }
    }

    /// Returns the service that a request belongs to.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<ServiceView>> {
        self.services
            .iter()
            .find(|view| view.service.routes.iter().any(|route| route.matches(host, path)))
    }
}

impl TargetView {
    /// Returns whether the target may receive new work now.
    pub(crate) fn is_eligible(&self) -> bool {
        self.state == TargetState::Eligible && !self.counters.is_leaving()
    }
}

impl TargetCounters {
    /// Returns the requests in flight from this gateway.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Stops new work at once, before the control thread publishes a new view.
    pub(crate) fn set_leaving(&self, leaving: bool) -> bool {
        self.leaving.swap(leaving, Ordering::Relaxed)
    }

    /// Returns whether the target said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// Counts one request at a target while it lives.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<TargetCounters>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
