//! Admission of one service, shared by all traffic threads.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::admission::{Admission, Arrival, Limits, Next, Outcome, Patience, Ticket};
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Receives the place of a waiting request; closed when it waited too long.
type PlaceReceiver = oneshot::Receiver<Place>;

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<Place>,
    patience: Patience,
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
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            admission: Mutex::new(Admission::new()),
            running: AtomicU32::new(0),
            waiting: AtomicUsize::new(0),
            waiting_patient: AtomicUsize::new(0),
            concurrency: AtomicU32::new(0),
        }
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
    pub(crate) fn arrive(self: &Arc<Self>, limits: Limits, ticket: Ticket) -> Admitted {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, patience: ticket.patience };
        let now = self.clock.now();
        let arrival = self.change(&limits, |adm| adm.arrive(&limits, now, ticket, waiter));
        self.admitted(&arrival, rx, limits, ticket.patience)
    }

    /// Asks for a place again after each target refused; the wait ends at `until`.
    pub(crate) fn requeue(self: &Arc<Self>, limits: Limits, until: Tick) -> Admitted {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, patience: Patience::Interactive };
        let now = self.clock.now();
        let arrival = self.change(&limits, |adm| adm.requeue(now, until, waiter));
        self.drain(limits);
        self.admitted(&arrival, rx, limits, Patience::Interactive)
    }

    /// Gives free places to waiting requests, and ends the waits that are over.
    pub(crate) fn drain(self: &Arc<Self>, limits: Limits) {
        loop {
            let now = self.clock.now();
            let next = self.change(&limits, |adm| adm.next(&limits, now));
            match next {
                Next::Run(waiter) => {
                    // A waiter that is gone gives its place back when it is dropped here.
                    drop(waiter.tx.send(self.place(limits, waiter.patience)));
                }
                Next::Expired(waiter) => drop(waiter),
                Next::None => return,
            }
        }
    }

    fn admitted(
        self: &Arc<Self>,
        arrival: &Arrival<Waiter>,
        rx: PlaceReceiver,
        limits: Limits,
        patience: Patience,
    ) -> Admitted {
        match arrival {
            Arrival::Run(_) => Admitted::Now(self.place(limits, patience)),
            Arrival::Waits => Admitted::Later(rx),
            Arrival::Refused { retry_after, .. } => Admitted::Refused { retry_after: *retry_after },
        }
    }

    fn place(self: &Arc<Self>, limits: Limits, patience: Patience) -> Place {
        Place { admission: Arc::clone(self), limits, patience, outcome: Outcome::Failed }
    }

    /// Changes the state and leaves the counts for control, which never takes the lock.
    fn change<T>(&self, limits: &Limits, change: impl FnOnce(&mut Admission<Waiter>) -> T) -> T {
        let mut admission = self.admission.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut admission);
        self.running.store(admission.running(), Ordering::Relaxed);
        self.waiting.store(admission.waiting(), Ordering::Relaxed);
        self.waiting_patient.store(admission.waiting_patient(), Ordering::Relaxed);
        self.concurrency.store(admission.concurrency(limits), Ordering::Relaxed);
        result
    }
}

/// The place of a request that is sent; free again when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    admission: Arc<ServiceAdmission>,
    limits: Limits,
    patience: Patience,
    outcome: Outcome,
}

impl Place {
    /// Sets how the request ended.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let Self { limits, patience, outcome, .. } = *self;
        self.admission.change(&limits, |adm| adm.release(&limits, now, patience, outcome));
        self.admission.drain(self.limits);
    }
}
