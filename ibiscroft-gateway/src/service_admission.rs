//! Admission of one service, shared by all traffic threads.

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

/// Receives the place of a waiting request; closed when it waited too long.
type PlaceReceiver = oneshot::Receiver<Place>;

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<Place>,
    class: RequestClass,
}

/// What becomes of a request that asks for a place.
#[derive(Debug)]
pub(crate) enum Admitted {
    /// It may be sent.
    Now(Place),
    /// It waits.
    Later(PlaceReceiver),
    /// It is refused.
    Refused {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Requests of one service that are sent or wait at this gateway.
///
/// Only traffic threads take the lock, for a few instructions at a time.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    clock: Clock,
    /// What control granted last.
    limits: ArcSwap<Limits>,
    admission: Mutex<Admission<Waiter>>,
    running: AtomicU32,
    waiting: AtomicUsize,
    waiting_patient: AtomicUsize,
    concurrency: AtomicU32,
}

/// Requests of one service at this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counts {
    /// Sent.
    pub(crate) running: u32,
    /// Waiting, patient ones not counted.
    pub(crate) waiting: usize,
    /// Patient ones that wait.
    pub(crate) waiting_patient: usize,
    /// May be sent at once.
    pub(crate) concurrency: u32,
}

impl ServiceAdmission {
    /// Makes an admission without requests.
    pub(crate) fn new(clock: Clock, limits: Limits) -> Self {
        Self {
            clock,
            limits: ArcSwap::from_pointee(limits),
            admission: Mutex::new(Admission::new()),
            running: AtomicU32::new(0),
            waiting: AtomicUsize::new(0),
            waiting_patient: AtomicUsize::new(0),
            concurrency: AtomicU32::new(0),
        }
    }

    /// Sets what the service may send and let wait from now on.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.limits.store(Arc::new(limits));
    }

    /// Returns what the service may send and let wait.
    pub(crate) fn limits(&self) -> Limits {
        **self.limits.load()
    }

    /// Returns the counts that traffic threads left when they last changed them.
    pub(crate) fn counts(&self) -> Counts {
        Counts {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            waiting_patient: self.waiting_patient.load(Ordering::Relaxed),
            concurrency: self.concurrency.load(Ordering::Relaxed),
        }
    }

    /// Asks for a place.
    pub(crate) fn arrive(self: &Arc<Self>, ticket: AdmissionRequest) -> Admitted {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, class: ticket.class };
        let now = self.clock.now();
        let arrival = self.change(|adm, limits| adm.arrive(limits, now, ticket, waiter));
        self.admitted(&arrival, rx, ticket.class)
    }

    /// Asks for a place again after each target refused; the wait ends at `until`.
    pub(crate) fn requeue(self: &Arc<Self>, until: Tick) -> Admitted {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, class: RequestClass::Interactive };
        let now = self.clock.now();
        let arrival = self.change(|adm, limits| adm.requeue(limits, now, until, waiter));
        self.drain();
        self.admitted(&arrival, rx, RequestClass::Interactive)
    }

    /// Gives free places to waiting requests, and ends the waits that are over.
    pub(crate) fn drain(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let next = self.change(|adm, limits| adm.next(limits, now));
            match next {
                Dequeued::Run(waiter) => {
                    // A waiter that is gone gives its place back when it is dropped here.
                    drop(waiter.tx.send(self.place(waiter.class)));
                }
                Dequeued::Expired(waiter) => drop(waiter),
                Dequeued::None => return,
            }
        }
    }

    fn admitted(
        self: &Arc<Self>,
        arrival: &AdmissionDecision<Waiter>,
        rx: PlaceReceiver,
        class: RequestClass,
    ) -> Admitted {
        match arrival {
            AdmissionDecision::Run(_) => Admitted::Now(self.place(class)),
            AdmissionDecision::Queued => Admitted::Later(rx),
            AdmissionDecision::Refused { retry_after, .. } => {
                Admitted::Refused { retry_after: *retry_after }
            }
        }
    }

    fn place(self: &Arc<Self>, class: RequestClass) -> Place {
        Place {
            admission: Arc::clone(self),
            ended: CompletedRequest { started: self.clock.now(), class, outcome: Outcome::Failed },
        }
    }

    /// Changes the state and leaves the counts for control, which never takes the lock.
    fn change<T>(&self, change: impl FnOnce(&mut Admission<Waiter>, &Limits) -> T) -> T {
        let limits = self.limits.load();
        let mut admission = self.admission.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut admission, &limits);
        self.running.store(admission.running(), Ordering::Relaxed);
        self.waiting.store(admission.waiting(), Ordering::Relaxed);
        self.waiting_patient.store(admission.waiting_batch(), Ordering::Relaxed);
        self.concurrency.store(admission.concurrency(&limits), Ordering::Relaxed);
        result
    }
}

/// The place of a request that is sent; free again when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    admission: Arc<ServiceAdmission>,
    ended: CompletedRequest,
}

impl Place {
    /// Sets how the request ended.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.ended.outcome = outcome;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        self.admission.change(|adm, limits| adm.release(limits, now, &self.ended));
        self.admission.drain();
    }
}
