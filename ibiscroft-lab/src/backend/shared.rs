//! State of a running backend server, shared by its listeners.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use ibiscroft_core::Tick;
use rand::{Rng, SeedableRng};
use tokio::sync::Semaphore;

use super::cold_start::ColdStart;
use super::control::{BackendControl, ResponseFaults};
use super::counters::BackendCounters;
use super::drain::Drain;
use super::executions::Executions;
use super::journal::{Journal, JournalEntry};
use super::noise::Noise;
use super::options::{BackendOptions, CrashMode};
use super::polls::Polls;
use crate::server::ServerControl;

/// Number of keys executed more than once that are listed in the counters.
const MAX_LISTED_DUPLICATE_KEYS: usize = 20;
/// Factor on the duration of work while a cold server has more requests than its cold capacity.
const COLD_OVERLOAD_FACTOR: f64 = 10.0;

/// State behind the server's lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) run_id: String,
    pub(super) cold: ColdStart,
    pub(super) drain: Drain,
    pub(super) executions: Executions,
    pub(super) polls: Polls,
    pub(super) counts: BackendCounters,
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) unhealthy: bool,
    pub(super) own_validator: bool,
    pub(super) reported_load: Option<(Tick, String)>,
    noise: Noise,
    slow_factor: f64,
    faults: ResponseFaults,
    journal: Option<Journal>,
}

/// State shared by the listeners of one backend server.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: BackendOptions,
    pub(super) control: ServerControl,
    pub(super) slots: Arc<Semaphore>,
    inner: Mutex<Inner>,
    started: Instant,
}

impl Shared {
    pub(super) fn new(options: BackendOptions, control: ServerControl) -> Result<Self> {
        let journal = options.journal.as_deref().map(Journal::open).transpose()?;
        let inner = Inner {
            run_id: new_run_id(),
            cold: ColdStart::new(options.cold_capacity, options.warm_up),
            drain: Drain::default(),
            executions: Executions::default(),
            polls: Polls::default(),
            counts: BackendCounters::default(),
            running: 0,
            waiting: 0,
            unhealthy: false,
            own_validator: false,
            reported_load: None,
            noise: Noise::new(options.noise, options.seed),
            slow_factor: 1.0,
            faults: ResponseFaults::default(),
            journal,
        };
        Ok(Self {
            slots: Arc::new(Semaphore::new(options.slots)),
            options,
            control,
            inner: Mutex::new(inner),
            started: Instant::now(),
        })
    }

    pub(super) fn now(&self) -> Tick {
        Tick::ZERO + self.started.elapsed()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn apply(&self, control: &BackendControl) {
        let now = self.now();
        self.lock().apply(control, now);
        if control.silence_connections == Some(true) {
            self.control.silenced.silence_all();
        }
    }

    /// Ends the process or starts a new run, depending on the options.
    pub(super) fn crash(&self) {
        if self.options.crash == CrashMode::Exit {
            std::process::exit(BackendOptions::CRASH_EXIT_CODE);
        }
        self.lock().counts.crashes += 1;
        self.restart();
    }

    /// Starts a new run, cold if a warm-up time is set, and closes every connection.
    pub(super) fn restart(&self) {
        let mut inner = self.lock();
        inner.run_id = new_run_id();
        inner.drain.withdraw();
        if !self.options.warm_up.is_zero() {
            inner.cold.set_cold();
        }
        drop(inner);
        self.control.connections.close_all();
    }

    /// Resets all counters and recorded executions.
    pub(super) fn reset(&self) {
        let mut inner = self.lock();
        inner.counts = BackendCounters::default();
        inner.executions = Executions::default();
        inner.polls = Polls::default();
        inner.cold.reset_counters();
        inner.drain.reset_counters();
    }

    pub(super) fn counters(&self) -> BackendCounters {
        let now = self.now();
        let mut counters = self.lock().counters(now);
        counters.name.clone_from(&self.options.name);
        counters.connections_accepted = self.control.connections.accepted_count();
        counters.connections_open = self.control.connections.open_count();
        counters.connections_peak = self.control.connections.peak_count();
        counters
    }
}

impl Inner {
    /// Returns the state that responses announce.
    pub(super) fn announced_state(&mut self, now: Tick) -> &'static str {
        if self.drain.is_draining() {
            return "draining";
        }
        if self.cold.is_cold(now) { "cold" } else { "warm" }
    }

    /// Returns the duration of work that starts now and takes `work` without any slowdown.
    pub(super) fn work_duration(&mut self, now: Tick, work: Duration) -> Duration {
        let mut factor = self.slow_factor;
        if self.cold.is_overloaded(now) {
            factor *= COLD_OVERLOAD_FACTOR;
        }
        self.noise.work_duration(now, work.mul_f64(factor))
    }

    /// Returns the faults for the next response, and counts that response.
    pub(super) fn take_faults(&mut self) -> ResponseFaults {
        if self.faults.count == 0 {
            return ResponseFaults::default();
        }
        self.faults.count -= 1;
        self.faults.clone()
    }

    /// Records that a request starts to run.
    pub(super) fn record_execution(&mut self, key: Option<String>, call: Option<String>) {
        self.counts.ran += 1;
        self.counts.peak_running = self.counts.peak_running.max(self.running);
        self.executions.record(key.as_deref(), call.as_deref());
        if key.is_none() && call.is_none() {
            return;
        }
        if let Some(journal) = &mut self.journal {
            journal.append(&JournalEntry { run: self.run_id.clone(), key, call });
        }
    }

    fn apply(&mut self, control: &BackendControl, now: Tick) {
        match control.draining {
            Some(true) => self.drain.announce(now),
            Some(false) => self.drain.withdraw(),
            None => {}
        }
        match control.cold {
            Some(true) => self.cold.set_cold(),
            Some(false) => self.cold.set_warm(),
            None => {}
        }
        self.slow_factor = control.slow_factor.unwrap_or(self.slow_factor);
        self.unhealthy = control.unhealthy.unwrap_or(self.unhealthy);
        self.own_validator = control.own_validator.unwrap_or(self.own_validator);
        if let Some(faults) = &control.answer_faults {
            self.faults = faults.clone();
        }
    }

    fn counters(&mut self, now: Tick) -> BackendCounters {
        let mut counters = self.counts.clone();
        counters.run_id.clone_from(&self.run_id);
        counters.state = self.announced_state(now).to_string();
        counters.running = self.running;
        counters.waiting = self.waiting;
        let duplicates = self.executions.duplicate_keys();
        counters.keys_ran = self.executions.key_count();
        counters.doubled = duplicates.len();
        counters.doubled_keys = duplicates.into_iter().take(MAX_LISTED_DUPLICATE_KEYS).collect();
        counters.times_cold = self.cold.cold_starts();
        counters.cold_received = self.cold.received();
        counters.cold_peak = self.cold.peak();
        counters.cold_violations = self.cold.violations();
        counters.received_while_draining = self.drain.received();
        counters.last_while_draining_ms = self.drain.last_received_after().as_millis() as u64;
        counters.load_polls = self.polls.load;
        counters.health_polls = self.polls.health;
        counters.peak_polls_per_second = self.polls.peak_per_second;
        counters
    }
}

/// Returns a random id in hexadecimal.
fn new_run_id() -> String {
    format!("{:016x}", rand::rngs::SmallRng::from_os_rng().random::<u64>())
}
