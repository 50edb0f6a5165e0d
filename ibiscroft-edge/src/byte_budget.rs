//! Bytes that callers make this process keep, and the tasks that wait for them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use ibiscroft_core::fleet::{ByteAccount, ByteShare, HolderId, Reservation};
use ibiscroft_listener::Connection;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Budget of a process whose memory is not limited by a setting.
const UNLIMITED: u64 = u64::MAX / 2;
/// Bytes in a megabyte of the settings.
const MEGABYTE: f64 = 1e6;
/// Fraction of the memory that requests and responses may use; the rest is for the process itself,
/// the buffers of its connections and the allocator.
const BUDGET_FRACTION: f64 = 0.5;

/// The holder was ended because it made no progress while others waited.
#[derive(Debug)]
pub(crate) struct HolderEnded;

/// Account of the bytes of requests and responses, shared by their tasks.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    clock: Clock,
    state: Mutex<State>,
    ended: AtomicU64,
}

#[derive(Debug)]
struct State {
    account: ByteAccount,
    signals: HashMap<HolderId, Arc<Signal>>,
}

/// Wakes the task of a holder.
#[derive(Debug, Default)]
struct Signal {
    /// Notified when bytes are granted.
    granted: Notify,
    /// Notified when the holder is ended.
    ended: Notify,
    /// Connection that is closed when the holder is ended, once its response is being sent.
    connection: OnceLock<Arc<Connection>>,
}

impl State {
    fn notify(&self, granted: &[HolderId]) {
        for signal in granted.iter().filter_map(|id| self.signals.get(id)) {
            signal.granted.notify_one();
        }
    }
}

impl ByteBudget {
    /// Creates the budget of a process with this memory, in megabytes; without a limit for `None`.
    pub(crate) fn new(clock: Clock, memory_mb: Option<f64>) -> Arc<Self> {
        let bytes = memory_mb.map_or(UNLIMITED, |mb| (mb * MEGABYTE * BUDGET_FRACTION) as u64);
        let state = State { account: ByteAccount::new(bytes), signals: HashMap::new() };
        Arc::new(Self { clock, state: Mutex::new(state), ended: AtomicU64::new(0) })
    }

    /// Adds a holder without bytes.
    pub(crate) fn open(self: &Arc<Self>) -> Arc<Holder> {
        let signal = Arc::new(Signal::default());
        let mut state = self.lock();
        let id = state.account.open(self.clock.now());
        state.signals.insert(id, Arc::clone(&signal));
        drop(state);
        let budget = Arc::clone(self);
        Arc::new(Holder { budget, id, signal, has_waited: AtomicBool::new(false) })
    }

    /// Ends the holder that has stalled for the longest time, if others wait.
    pub(crate) fn end_stalled(&self) {
        let mut state = self.lock();
        let Some((id, granted)) = state.account.end_stalled(self.clock.now()) else {
            return;
        };
        state.notify(&granted);
        let signal = state.signals.get(&id).cloned();
        drop(state);
        self.ended.fetch_add(1, Ordering::Relaxed);
        if let Some(signal) = signal {
            signal.ended.notify_one();
            if let Some(connection) = signal.connection.get() {
                connection.close();
            }
        }
    }

    /// Returns the number of holders ended so far.
    pub(crate) fn ended_count(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Returns the reserved bytes and the number of holders that wait.
    pub(crate) fn usage(&self) -> (u64, usize) {
        let state = self.lock();
        (state.account.bytes_held(), state.account.waiting_count())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes reserved for one body; they are released when it is dropped.
#[derive(Debug)]
pub(crate) struct Holder {
    budget: Arc<ByteBudget>,
    id: HolderId,
    signal: Arc<Signal>,
    has_waited: AtomicBool,
}

impl Drop for Holder {
    fn drop(&mut self) {
        let now = self.budget.clock.now();
        let mut state = self.budget.lock();
        state.signals.remove(&self.id);
        let granted = state.account.close(now, self.id);
        state.notify(&granted);
    }
}

impl Holder {
    /// Reserves bytes, after a wait if necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the holder is ended.
    pub(crate) async fn reserve(&self, share: ByteShare, bytes: usize) -> Result<(), HolderEnded> {
        let now = self.budget.clock.now();
        match self.budget.lock().account.reserve(now, self.id, share, bytes as u64) {
            Reservation::Granted => return Ok(()),
            Reservation::Ended => return Err(HolderEnded),
            Reservation::Waiting => self.has_waited.store(true, Ordering::Relaxed),
        }
        while self.is_waiting() {
            self.signal.granted.notified().await;
        }
        if self.budget.lock().account.has_ended(self.id) { Err(HolderEnded) } else { Ok(()) }
    }

    /// Reserves bytes if they are available at once; returns whether they were.
    pub(crate) fn try_reserve(&self, share: ByteShare, bytes: usize) -> bool {
        self.budget.lock().account.try_reserve(self.id, share, bytes as u64)
    }

    /// Releases bytes before the holder is dropped.
    pub(crate) fn release(&self, share: ByteShare, bytes: usize) {
        let now = self.budget.clock.now();
        let mut state = self.budget.lock();
        state.account.note_progress(now, self.id);
        let granted = state.account.release(now, self.id, share, bytes as u64);
        state.notify(&granted);
    }

    /// Records that bytes of the caller arrived.
    pub(crate) fn note_progress(&self) {
        let now = self.budget.clock.now();
        self.budget.lock().account.note_progress(now, self.id);
    }

    /// Records that nothing more is expected of the caller for now.
    pub(crate) fn note_complete(&self) {
        self.budget.lock().account.note_complete(self.id);
    }

    /// Records that a response is being sent, whose connection is closed if the caller stalls.
    pub(crate) fn begin_sending(&self, connection: &Arc<Connection>) {
        // A response is sent once.
        let _ = self.signal.connection.set(Arc::clone(connection));
        self.budget.lock().account.note_sending(self.budget.clock.now(), self.id);
    }

    /// Returns whether the holder had to wait for bytes at some time.
    pub(crate) fn has_waited(&self) -> bool {
        self.has_waited.load(Ordering::Relaxed)
    }

    /// Returns whether the holder waits for bytes.
    fn is_waiting(&self) -> bool {
        self.budget.lock().account.is_waiting(self.id)
    }

    /// Waits until the holder is ended.
    pub(crate) async fn ended(&self) {
        while !self.budget.lock().account.has_ended(self.id) {
            self.signal.ended.notified().await;
        }
    }
}
