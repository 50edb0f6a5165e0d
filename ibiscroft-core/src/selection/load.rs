//! What a gateway knows of a target's load, shared by all traffic threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ids::TargetName;
use crate::{Tick, copy_data};

/// Time in which the weight of a refusal halves.
const SHED_HALF_LIFE: Duration = Duration::from_millis(32);
/// Weight of one refusal, in thousandths of a request in flight.
const SHED_WEIGHT: u64 = 1_000;
/// Greatest weight of all refusals, in thousandths of a request in flight.
const MAX_SHED_WEIGHT: u64 = 64_000;
/// Bits of the packed refusal weight; the rest holds milliseconds.
const WEIGHT_BITS: u32 = 20;
/// Backoff after the first failed connection.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Doublings of the backoff.
const MAX_DOUBLINGS: u32 = 5;

copy_data! {
    /// Load a target reported on an answer.
    pub struct LoadReport {
        /// Requests running.
        pub running: u32,
        /// Requests waiting for a slot.
        pub waiting: u32,
    }
}

/// Load of one target as this gateway sees it.
///
/// Every method may be called from any thread; none blocks or allocates.
#[derive(Debug, Default)]
pub struct TargetLoad {
    in_flight: AtomicU32,
    sheds: AtomicU64,
    failures: AtomicU32,
    retry_at: AtomicU64,
    last_answer_at: AtomicU64,
    report: AtomicU64,
}

impl TargetLoad {
    /// Counts a request as in flight until the guard ends.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { load: Arc::clone(self) }
    }

    /// Returns the requests this gateway has in flight at the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the decayed weight of refusals, in thousandths of a request in flight.
    #[must_use]
    pub fn shed_weight(&self, now: Tick) -> u64 {
        decayed(self.sheds.load(Ordering::Relaxed), millis(now))
    }

    /// Notes that the target refused a request without running it.
    pub fn record_shed(&self, now: Tick) {
        let now = millis(now);
        let update = |packed| {
            let weight = (decayed(packed, now) + SHED_WEIGHT).min(MAX_SHED_WEIGHT);
            Some((now << WEIGHT_BITS) | weight)
        };
        let _ = self.sheds.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Notes that no connection could be made; `jitter` is a random word.
    pub fn record_unreachable(&self, now: Tick, jitter: u64) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_DOUBLINGS);
        let span = (BASE_BACKOFF * (1 << failures)).min(MAX_BACKOFF);
        let half = u64::try_from(span.as_micros() / 2).unwrap_or(u64::MAX);
        let wait = half + jitter % half.max(1);
        self.retry_at.store((now + Duration::from_micros(wait)).as_micros(), Ordering::Relaxed);
    }

    /// Notes that the target answered.
    pub fn record_response(&self, now: Tick) {
        self.last_answer_at.fetch_max(now.as_micros(), Ordering::Relaxed);
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Notes the load that the target reported on an answer.
    pub fn record_report(&self, report: LoadReport) {
        let packed = (u64::from(report.running) << 32) | u64::from(report.waiting);
        self.report.store(packed, Ordering::Relaxed);
    }

    /// Returns the load that the target reported last.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let packed = self.report.load(Ordering::Relaxed);
        LoadReport {
            running: (packed >> 32) as u32,
            waiting: (packed & u64::from(u32::MAX)) as u32,
        }
    }

    /// Returns when the target answered last, zero when it never did.
    #[must_use]
    pub fn last_answer_at(&self) -> Tick {
        Tick::from_micros(self.last_answer_at.load(Ordering::Relaxed))
    }

    /// Returns whether the target is not waiting out a backoff.
    #[must_use]
    pub fn is_reachable(&self, now: Tick) -> bool {
        self.failures.load(Ordering::Relaxed) == 0
            || now.as_micros() >= self.retry_at.load(Ordering::Relaxed)
    }

    /// Returns whether a request may go to the target now.
    ///
    /// After a backoff only one request tries the target; the others pass it by until it
    /// answers or another backoff ends.
    #[must_use]
    pub fn claim(&self, now: Tick) -> bool {
        if self.failures.load(Ordering::Relaxed) == 0 {
            return true;
        }
        let found = self.retry_at.load(Ordering::Relaxed);
        if now.as_micros() < found {
            return false;
        }
        let next = (now + MAX_BACKOFF).as_micros();
        self.retry_at.compare_exchange(found, next, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}

/// A request in flight; it counts until it ends or is dropped.
#[derive(Debug)]
pub struct InFlight {
    load: Arc<TargetLoad>,
}

impl InFlight {
    /// Ends the request with an answer.
    pub fn end_answered(self, now: Tick) {
        self.load.record_response(now);
    }

    /// Ends the request with a refusal.
    pub fn end_shed(self, now: Tick) {
        self.load.record_response(now);
        self.load.record_shed(now);
    }

    /// Ends the request without a connection; `jitter` is a random word.
    pub fn end_unreachable(self, now: Tick, jitter: u64) {
        self.load.record_unreachable(now, jitter);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Loads of all targets, kept by control across pools.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: FxHashMap<TargetName, Arc<TargetLoad>>,
}

impl LoadTable {
    /// Returns the load of `target`, a new one when the target is not known yet.
    pub fn entry(&mut self, target: &TargetName) -> Arc<TargetLoad> {
        if let Some(load) = self.loads.get(target) {
            return Arc::clone(load);
        }
        let load = Arc::new(TargetLoad::default());
        self.loads.insert(target.clone(), Arc::clone(&load));
        load
    }

    /// Forgets targets for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetName) -> bool) {
        self.loads.retain(|name, _| keep(name));
    }
}

fn millis(now: Tick) -> u64 {
    now.as_micros() / 1_000
}

/// Returns the weight in `packed`, halved once for each half-life passed until `now_ms`.
fn decayed(packed: u64, now_ms: u64) -> u64 {
    let weight = packed & ((1 << WEIGHT_BITS) - 1);
    let elapsed = now_ms.saturating_sub(packed >> WEIGHT_BITS);
    let half_lives = elapsed / (SHED_HALF_LIFE.as_millis() as u64);
    weight.checked_shr(u32::try_from(half_lives).unwrap_or(u32::MAX)).unwrap_or(0)
}
