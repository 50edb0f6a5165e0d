//! State of the running store, shared by its listeners.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ibiscroft_core::Tick;
use ibiscroft_listener::ConnectionRegistry;
use ibiscroft_wire::generated::store::InstanceList;
use tokio::sync::watch;

use super::counters::StoreCounters;
use super::faults::StoreFaults;
use super::instances::InstanceHistory;
use super::state::StoreState;

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(5);

/// State behind the store's lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) state: StoreState,
    pub(super) instances: InstanceHistory,
    pub(super) faults: StoreFaults,
    pub(super) counters: StoreCounters,
    snapshot: Option<StoreState>,
}

/// State shared by the listeners of one store.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
    pub(super) connections: Arc<ConnectionRegistry>,
    started: Instant,
}

impl Shared {
    pub(super) fn new(connections: Arc<ConnectionRegistry>, instance_list_lag: Duration) -> Self {
        let inner = Inner {
            state: StoreState::default(),
            instances: InstanceHistory::new(instance_list_lag),
            faults: StoreFaults::default(),
            counters: StoreCounters::default(),
            snapshot: None,
        };
        Self {
            inner: Mutex::new(inner),
            changed: watch::Sender::new(0),
            connections,
            started: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Tick {
        Tick::ZERO + self.started.elapsed()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `operation` to the state and wakes the waiting watches if the revision changed.
    pub(super) fn update<T>(&self, operation: impl FnOnce(&mut Inner, Tick) -> T) -> T {
        let now = self.now();
        let mut inner = self.lock();
        let result = operation(&mut inner, now);
        let revision = inner.state.revision();
        drop(inner);
        self.changed.send_if_modified(|previous| std::mem::replace(previous, revision) != revision);
        result
    }

    /// Returns a receiver that is notified of changes from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(super) fn faults(&self) -> StoreFaults {
        self.lock().faults
    }

    pub(super) fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        if faults.down {
            self.connections.close_all();
        }
    }

    pub(super) fn take_snapshot(&self) {
        let mut inner = self.lock();
        inner.snapshot = Some(inner.state.clone());
    }

    pub(super) fn roll_back(&self) -> bool {
        self.update(|inner, _| {
            let Some(snapshot) = inner.snapshot.clone() else {
                return false;
            };
            inner.state = snapshot;
            true
        })
    }

    pub(super) fn set_instances(&self, list: InstanceList) {
        self.update(|inner, now| inner.instances.set(list, now));
    }

    pub(super) fn counters(&self) -> StoreCounters {
        self.lock().counters
    }
}

/// Ends expired leases periodically, until the task is aborted.
pub(super) async fn expire_leases(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        shared.update(|inner, now| inner.state.expire(now));
    }
}
