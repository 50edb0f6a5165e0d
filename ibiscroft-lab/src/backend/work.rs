//! Passage of a request through the queue and a slot.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::shared::{Inner, Shared};

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// All slots and the queue are full.
    Full,
    /// The deadline passed while the request waited.
    Expired,
}

/// Counts a request as received, and as done when dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    shared: Arc<Shared>,
}

impl RequestGuard {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let now = shared.now();
        let mut inner = shared.lock();
        inner.counts.received += 1;
        inner.cold.on_received(now);
        inner.drain.on_received(now);
        drop(inner);
        Self { shared }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.lock().cold.on_done();
    }
}

/// A place in the queue, released when dropped.
#[derive(Debug)]
struct QueueEntry {
    shared: Arc<Shared>,
    /// Whether the request is dropped while it waits, because its caller disconnected.
    cancelled: bool,
}

impl QueueEntry {
    /// Joins the queue; `None` when all slots and the queue are full.
    fn enter(shared: &Arc<Shared>) -> Option<Self> {
        let mut inner = shared.lock();
        let has_free_slot = inner.running + inner.waiting < shared.options.slots;
        if !has_free_slot && inner.waiting >= shared.options.queue {
            inner.counts.shed += 1;
            return None;
        }
        inner.waiting += 1;
        drop(inner);
        Some(Self { shared: shared.clone(), cancelled: true })
    }

    /// Leaves the queue and applies `update` under the same lock.
    fn leave(mut self, update: impl FnOnce(&mut Inner)) {
        self.cancelled = false;
        let shared = self.shared.clone();
        let mut inner = shared.lock();
        inner.waiting -= 1;
        update(&mut inner);
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if !self.cancelled {
            return;
        }
        let mut inner = self.shared.lock();
        inner.waiting -= 1;
        inner.counts.cancelled_waiting += 1;
    }
}

/// A slot in use, released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
    /// Whether the end of the request is counted; if not, the drop counts it as cancelled.
    finished: bool,
    _permit: OwnedSemaphorePermit,
}

impl Slot {
    /// Waits for a slot, at most until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns why the request does not run.
    pub(super) async fn acquire(
        shared: &Arc<Shared>,
        deadline: Option<Instant>,
    ) -> Result<Self, Refusal> {
        let Some(queue_entry) = QueueEntry::enter(shared) else {
            return Err(Refusal::Full);
        };
        let acquired = tokio::select! {
            biased;
            () = deadline_passed(deadline) => None,
            permit = shared.slots.clone().acquire_owned() => permit.ok(),
        };
        let Some(permit) = acquired else {
            queue_entry.leave(|inner| inner.counts.expired_waiting += 1);
            return Err(Refusal::Expired);
        };
        queue_entry.leave(|inner| inner.running += 1);
        Ok(Self { shared: shared.clone(), finished: false, _permit: permit })
    }

    /// Simulates work that takes `work` on a server that is not slowed down; returns whether it
    /// finished before the deadline.
    pub(super) async fn work(&mut self, work: Duration, deadline: Option<Instant>) -> bool {
        let now = self.shared.now();
        let duration = self.shared.lock().work_duration(now, work);
        if duration.is_zero() {
            return true;
        }
        tokio::select! {
            biased;
            () = deadline_passed(deadline) => {
                self.shared.lock().counts.expired_running += 1;
                self.finished = true;
                false
            }
            () = tokio::time::sleep(duration) => true,
        }
    }

    /// Counts the request as finished.
    pub(super) fn finish(&mut self) {
        self.finished = true;
        self.shared.lock().counts.finished += 1;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        inner.running -= 1;
        if !self.finished {
            inner.counts.cancelled_running += 1;
        }
    }
}

/// Waits until the deadline, or forever without one.
async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
