//! One request on its way through queue and slot.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::shared::{Inner, Shared};

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Slots and queue are full.
    Full,
    /// Its deadline passed while it waited.
    Expired,
}

/// A received request; counts it as done when dropped.
#[derive(Debug)]
pub(super) struct Received {
    shared: Arc<Shared>,
}

impl Received {
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

impl Drop for Received {
    fn drop(&mut self) {
        self.shared.lock().cold.on_done();
    }
}

/// A place in the queue; a caller that leaves gives it back.
#[derive(Debug)]
struct Waiting {
    shared: Arc<Shared>,
    left_by_itself: bool,
}

impl Waiting {
    fn enter(shared: &Arc<Shared>) -> Option<Self> {
        let mut inner = shared.lock();
        let is_free = inner.running + inner.waiting < shared.options.slots;
        if !is_free && inner.waiting >= shared.options.queue {
            inner.counts.shed += 1;
            return None;
        }
        inner.waiting += 1;
        drop(inner);
        Some(Self { shared: shared.clone(), left_by_itself: true })
    }

    fn leave(mut self, step: impl FnOnce(&mut Inner)) {
        self.left_by_itself = false;
        let shared = self.shared.clone();
        let mut inner = shared.lock();
        inner.waiting -= 1;
        step(&mut inner);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.left_by_itself {
            return;
        }
        let mut inner = self.shared.lock();
        inner.waiting -= 1;
        inner.counts.cancelled_waiting += 1;
    }
}

/// A slot; a caller that leaves gives it back.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
    finished: bool,
    _permit: OwnedSemaphorePermit,
}

impl Slot {
    /// Waits for a slot, at most until `deadline`.
    pub(super) async fn acquire(
        shared: &Arc<Shared>,
        deadline: Option<Instant>,
    ) -> Result<Self, Refusal> {
        let Some(waiting) = Waiting::enter(shared) else {
            return Err(Refusal::Full);
        };
        let acquired = tokio::select! {
            biased;
            () = until(deadline) => None,
            permit = shared.slots.clone().acquire_owned() => permit.ok(),
        };
        let Some(permit) = acquired else {
            waiting.leave(|inner| inner.counts.expired_waiting += 1);
            return Err(Refusal::Expired);
        };
        waiting.leave(|inner| inner.running += 1);
        Ok(Self { shared: shared.clone(), finished: false, _permit: permit })
    }

    /// Works for `work` on an idle server, longer on a slow one, and returns whether the deadline
    /// was kept.
    pub(super) async fn work(&mut self, work: Duration, deadline: Option<Instant>) -> bool {
        let now = self.shared.now();
        let span = self.shared.lock().work_span(now, work);
        if span.is_zero() {
            return true;
        }
        tokio::select! {
            biased;
            () = until(deadline) => {
                self.shared.lock().counts.expired_running += 1;
                self.finished = true;
                false
            }
            () = tokio::time::sleep(span) => true,
        }
    }

    /// Counts the request as run to its end.
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

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
