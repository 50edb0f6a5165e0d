//! What the traffic threads share with the control thread.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ibiscroft_core::ids::{InstanceName, RunId};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::observation::Observation;
use crate::permits::PermitSender;
use crate::snapshot::Snapshot;
use crate::validity::Validity;

/// Handles that each traffic thread uses.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Name of this instance.
    pub(crate) instance: InstanceName,
    /// Identifies this run of the process.
    pub(crate) run: RunId,
    /// Monotonic clock.
    pub(crate) clock: Clock,
    /// The view that control published last.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Until when the view may be relied on.
    pub(crate) validity: Validity,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Towards the control thread; full means that observations are dropped and counted.
    pub(crate) observations: mpsc::Sender<Observation>,
    /// Asks control for permits and reports their use.
    pub(crate) permits: PermitSender,
}

impl Shared {
    /// Tells the control thread what was seen; drops and counts it when control is behind.
    pub(crate) fn observe(&self, observation: Observation) {
        if self.observations.try_send(observation).is_err() {
            self.metrics.observations_dropped.inc();
        }
    }

    /// Returns the view that control published last.
    pub(crate) fn view(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }
}
