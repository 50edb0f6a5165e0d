//! Admission control of one service, shared by all traffic threads.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use ibiscroft_core::Tick;
use ibiscroft_core::admission::{
    Admission, AdmissionDecision, AdmissionRequest, CompletedRequest, Dequeued, Limits, Outcome,
    RequestClass,
};
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Receives the slot of a waiting request; closed without a slot if the request waited too long.
type SlotReceiver = oneshot::Receiver<AdmissionSlot>;

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<AdmissionSlot>,
    class: RequestClass,
}

/// Result of requesting a slot.
#[derive(Debug)]
pub(crate) enum SlotResult {
    /// The request may be sent now.
    Acquired(AdmissionSlot),
    /// The request waits for a slot.
    Queued(SlotReceiver),
    /// The request is rejected.
    Refused {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Admission control for the requests of one service at this gateway.
///
/// Only traffic threads take the lock, for a few instructions at a time. The control thread never
/// takes it: it reads counts that the traffic threads store after each change.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    clock: Clock,
    /// Limits that the control thread set last.
    limits: ArcSwap<Limits>,
    admission: Mutex<Admission<Waiter>>,
    running: AtomicU32,
    waiting: AtomicUsize,
    waiting_batch: AtomicUsize,
    concurrency: AtomicU32,
}

/// Request counts of one service at this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counts {
    /// Requests that were sent and have not ended.
    pub(crate) running: u32,
    /// Interactive requests that wait.
    pub(crate) waiting: usize,
    /// Batch requests that wait.
    pub(crate) waiting_batch: usize,
    /// Requests that may run at once.
    pub(crate) concurrency: u32,
}

impl ServiceAdmission {
    /// Creates the admission control of a service without requests.
    pub(crate) fn new(clock: Clock, limits: Limits) -> Self {
        Self {
            clock,
            limits: ArcSwap::from_pointee(limits),
            admission: Mutex::new(Admission::new()),
            running: AtomicU32::new(0),
            waiting: AtomicUsize::new(0),
            waiting_batch: AtomicUsize::new(0),
            concurrency: AtomicU32::new(0),
        }
    }

    /// Replaces the limits.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.limits.store(Arc::new(limits));
    }

    /// Returns the limits that were set last.
    pub(crate) fn limits(&self) -> Limits {
        **self.limits.load()
    }

    /// Returns the counts as of the last change by a traffic thread, without taking the lock.
    pub(crate) fn counts(&self) -> Counts {
        Counts {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            waiting_batch: self.waiting_batch.load(Ordering::Relaxed),
            concurrency: self.concurrency.load(Ordering::Relaxed),
        }
    }

    /// Requests a slot for an arriving request.
    pub(crate) fn arrive(self: &Arc<Self>, request: AdmissionRequest) -> SlotResult {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, class: request.class };
        let now = self.clock.now();
        let decision = self.update(|adm, limits| adm.arrive(limits, now, request, waiter));
        self.slot_result(&decision, rx, request.class)
    }

    /// Requests a slot again for a request that all attempted targets shed; it waits until
    /// `until` at the longest.
    pub(crate) fn requeue(self: &Arc<Self>, until: Tick) -> SlotResult {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, class: RequestClass::Interactive };
        let now = self.clock.now();
        let decision = self.update(|adm, limits| adm.requeue(limits, now, until, waiter));
        self.admit_waiting();
        self.slot_result(&decision, rx, RequestClass::Interactive)
    }

    /// Gives free slots to waiting requests and rejects those that waited too long.
    pub(crate) fn admit_waiting(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let next = self.update(|adm, limits| adm.next(limits, now));
            match next {
                Dequeued::Run(waiter) => {
                    // If the waiting request was dropped, `send` returns the slot, and dropping
                    // it here releases it.
                    drop(waiter.tx.send(self.new_slot(waiter.class)));
                }
                Dequeued::Expired(waiter) => drop(waiter),
                Dequeued::None => return,
            }
        }
    }

    /// Returns the result for a request of `class` that waits on `rx` if it is queued.
    fn slot_result(
        self: &Arc<Self>,
        decision: &AdmissionDecision<Waiter>,
        rx: SlotReceiver,
        class: RequestClass,
    ) -> SlotResult {
        match decision {
            AdmissionDecision::Run(_) => SlotResult::Acquired(self.new_slot(class)),
            AdmissionDecision::Queued => SlotResult::Queued(rx),
            AdmissionDecision::Refused { retry_after, .. } => {
                SlotResult::Refused { retry_after: *retry_after }
            }
        }
    }

    /// Creates the slot of a request that starts now; its outcome is a failure until set.
    fn new_slot(self: &Arc<Self>, class: RequestClass) -> AdmissionSlot {
        AdmissionSlot {
            admission: Arc::clone(self),
            completed: CompletedRequest {
                started: self.clock.now(),
                class,
                outcome: Outcome::Failed,
            },
        }
    }

    /// Applies `update` to the admission state and stores the resulting counts for the control
    /// thread.
    fn update<T>(&self, update: impl FnOnce(&mut Admission<Waiter>, &Limits) -> T) -> T {
        let limits = self.limits.load();
        let mut admission = self.admission.lock().unwrap_or_else(PoisonError::into_inner);
        let result = update(&mut admission, &limits);
        self.running.store(admission.running(), Ordering::Relaxed);
        self.waiting.store(admission.waiting(), Ordering::Relaxed);
        self.waiting_batch.store(admission.waiting_batch(), Ordering::Relaxed);
        self.concurrency.store(admission.concurrency(&limits), Ordering::Relaxed);
        result
    }
}

/// The slot of a running request; dropping it releases the slot and admits waiting requests.
#[derive(Debug)]
pub(crate) struct AdmissionSlot {
    admission: Arc<ServiceAdmission>,
    completed: CompletedRequest,
}

impl AdmissionSlot {
    /// Sets the outcome to report when the slot is released.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.completed.outcome = outcome;
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        self.admission.update(|adm, limits| adm.release(limits, now, &self.completed));
        self.admission.admit_waiting();
    }
}
