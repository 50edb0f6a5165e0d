//! State and channels that the traffic threads share with the control thread.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ibiscroft_core::ids::{InstanceName, RunId};
use tokio::sync::{Semaphore, mpsc};

use crate::body_budget::BodyBudget;
use crate::caller_limits::CallerLimits;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::observation::Observation;
use crate::permits::PermitSender;
use crate::shortage::Shortage;
use crate::snapshot::Snapshot;
use crate::validity::Validity;

/// State and channels that each traffic thread uses.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Name of this instance.
    pub(crate) instance: InstanceName,
    /// Identifies this run of the process.
    pub(crate) run: RunId,
    /// Monotonic clock.
    pub(crate) clock: Clock,
    /// Snapshot that the control thread published last.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Time until which the registers in force may be relied on.
    pub(crate) validity: Validity,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Observations for the control thread; when the channel is full, they are dropped and
    /// counted.
    pub(crate) observations: mpsc::Sender<Observation>,
    /// Permit requests and reports for the control thread.
    pub(crate) permits: PermitSender,
    /// What callers may occupy.
    pub(crate) limits: CallerLimits,
    /// Account of the request bodies in memory.
    pub(crate) bodies: Arc<BodyBudget>,
    /// Places of large responses.
    pub(crate) large_responses: Arc<Semaphore>,
    /// Whether bodies are refused for want of memory.
    pub(crate) memory_shortage: Shortage,
    /// Whether callers are refused for want of connections.
    pub(crate) connection_shortage: Shortage,
    /// Whether callers are refused or wait for want of slots or places of responses.
    pub(crate) slot_shortage: Shortage,
}

impl Shared {
    /// Sends an observation to the control thread, or drops and counts it when the channel is
    /// full.
    pub(crate) fn observe(&self, observation: Observation) {
        if self.observations.try_send(observation).is_err() {
            self.metrics.observations_dropped.inc();
        }
    }

    /// Returns whether callers were recently refused for want of what an incomplete body occupies.
    pub(crate) fn is_short_for_bodies(&self) -> bool {
        let now = self.clock.now();
        self.memory_shortage.lasts(now) || self.connection_shortage.lasts(now)
    }

    /// Returns whether callers were recently refused for want of what an unread response occupies.
    pub(crate) fn is_short_for_responses(&self) -> bool {
        let now = self.clock.now();
        self.slot_shortage.lasts(now) || self.connection_shortage.lasts(now)
    }

    /// Returns the snapshot that the control thread published last.
    pub(crate) fn view(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }
}
