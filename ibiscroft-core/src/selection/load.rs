//! Load of a target as one gateway knows it, shared by all traffic threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::ids::TargetName;
use crate::{Tick, copy_data};

/// Time in which the weight of a shed request halves.
const SHED_HALF_LIFE: Duration = Duration::from_millis(32);
/// Weight of one shed request, in thousandths of a request in flight.
const SHED_WEIGHT: u64 = 1_000;
/// Greatest total weight of shed requests, in thousandths of a request in flight.
const MAX_SHED_WEIGHT: u64 = 64_000;
/// Low bits of the packed shed weight that hold the weight; the high bits hold the time of the
/// last change in milliseconds.
const SHED_WEIGHT_BITS: u32 = 20;
/// Longest backoff after the first failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after any number of failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Number of failed connections after which the backoff no longer doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

copy_data! {
    /// Load that a target reported on a response.
    pub struct LoadReport {
        /// Number of running requests.
        pub running: u32,
        /// Number of requests that wait for a slot.
        pub waiting: u32,
    }
}

/// Load of one target as this gateway knows it.
///
/// Every method may be called from any thread; none blocks or allocates.
#[derive(Debug, Default)]
pub struct TargetLoad {
    in_flight: AtomicU32,
    /// Decaying weight of shed requests and the time of its last change, see
    /// [`SHED_WEIGHT_BITS`].
    packed_shed_weight: AtomicU64,
    /// Number of failed connections since the last response.
    connect_failures: AtomicU32,
    /// End of the backoff in microseconds; has no meaning while `connect_failures` is zero.
    backoff_until_us: AtomicU64,
    last_response_at_us: AtomicU64,
    /// Last load report: running requests in the high half, waiting ones in the low half.
    packed_report: AtomicU64,
}

impl TargetLoad {
    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { load: Arc::clone(self) }
    }

    /// Returns the requests that this gateway has in flight at the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the decayed weight of shed requests, in thousandths of a request in flight.
    #[must_use]
    pub fn shed_weight(&self, now: Tick) -> u64 {
        decayed_weight(self.packed_shed_weight.load(Ordering::Relaxed), millis(now))
    }

    /// Records that the target shed a request, that is, rejected it without running it.
    pub fn record_shed(&self, now: Tick) {
        let now = millis(now);
        let update = |packed| {
            let weight = (decayed_weight(packed, now) + SHED_WEIGHT).min(MAX_SHED_WEIGHT);
            Some((now << SHED_WEIGHT_BITS) | weight)
        };
        let _ = self.packed_shed_weight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Records a failed connection and starts a backoff.
    ///
    /// The backoff doubles with each failure up to a limit. `jitter` is a random number that
    /// places its length between half of the current maximum and the maximum.
    pub fn record_unreachable(&self, now: Tick, jitter: u64) {
        let failures =
            self.connect_failures.fetch_add(1, Ordering::Relaxed).min(MAX_BACKOFF_DOUBLINGS);
        let longest = (INITIAL_BACKOFF * (1 << failures)).min(MAX_BACKOFF);
        let half = u64::try_from(longest.as_micros() / 2).unwrap_or(u64::MAX);
        let backoff = half + jitter % half.max(1);
        self.backoff_until_us
            .store((now + Duration::from_micros(backoff)).as_micros(), Ordering::Relaxed);
    }

    /// Records a response of the target, which ends its backoff.
    pub fn record_response(&self, now: Tick) {
        self.last_response_at_us.fetch_max(now.as_micros(), Ordering::Relaxed);
        if self.connect_failures.load(Ordering::Relaxed) != 0 {
            self.connect_failures.store(0, Ordering::Relaxed);
        }
    }

    /// Records the load that the target reported on a response.
    pub fn record_report(&self, report: LoadReport) {
        let packed = (u64::from(report.running) << 32) | u64::from(report.waiting);
        self.packed_report.store(packed, Ordering::Relaxed);
    }

    /// Returns the load that the target reported last, zero when it reported none.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let packed = self.packed_report.load(Ordering::Relaxed);
        LoadReport {
            running: (packed >> 32) as u32,
            waiting: (packed & u64::from(u32::MAX)) as u32,
        }
    }

    /// Returns the time of the target's last response, [`Tick::ZERO`] when there was none.
    #[must_use]
    pub fn last_response_at(&self) -> Tick {
        Tick::from_micros(self.last_response_at_us.load(Ordering::Relaxed))
    }

    /// Returns whether the target is not in a backoff after failed connections.
    #[must_use]
    pub fn is_reachable(&self, now: Tick) -> bool {
        self.connect_failures.load(Ordering::Relaxed) == 0
            || now.as_micros() >= self.backoff_until_us.load(Ordering::Relaxed)
    }

    /// Returns whether a request may be sent to the target at `now`.
    ///
    /// After a backoff a single request is allowed as a trial. The others are refused until
    /// the target responds or another backoff ends.
    #[must_use]
    pub fn allow_request(&self, now: Tick) -> bool {
        if self.connect_failures.load(Ordering::Relaxed) == 0 {
            return true;
        }
        let backoff_until = self.backoff_until_us.load(Ordering::Relaxed);
        if now.as_micros() < backoff_until {
            return false;
        }
        let next = (now + MAX_BACKOFF).as_micros();
        self.backoff_until_us
            .compare_exchange(backoff_until, next, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }
}

/// Guard of a request in flight, which counts in [`TargetLoad`] until the guard is dropped.
#[derive(Debug)]
pub struct InFlight {
    load: Arc<TargetLoad>,
}

impl InFlight {
    /// Ends the request after a response.
    pub fn end_answered(self, now: Tick) {
        self.load.record_response(now);
    }

    /// Ends the request after the target shed it.
    pub fn end_shed(self, now: Tick) {
        self.load.record_response(now);
        self.load.record_shed(now);
    }

    /// Ends the request after its connection failed, see [`TargetLoad::record_unreachable`].
    pub fn end_unreachable(self, now: Tick, jitter: u64) {
        self.load.record_unreachable(now, jitter);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Loads of all targets; the control thread keeps them when it replaces a pool.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: FxHashMap<TargetName, Arc<TargetLoad>>,
}

impl LoadTable {
    /// Returns the load of `target`, and inserts a new one when there is none.
    pub fn entry(&mut self, target: &TargetName) -> Arc<TargetLoad> {
        if let Some(load) = self.loads.get(target) {
            return Arc::clone(load);
        }
        let load = Arc::new(TargetLoad::default());
        self.loads.insert(target.clone(), Arc::clone(&load));
        load
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&TargetName) -> bool) {
        self.loads.retain(|name, _| keep(name));
    }
}

fn millis(now: Tick) -> u64 {
    now.as_micros() / 1_000
}

/// Returns the weight in `packed`, halved once for each half-life passed until `now_ms`.
fn decayed_weight(packed: u64, now_ms: u64) -> u64 {
    let weight = packed & ((1 << SHED_WEIGHT_BITS) - 1);
    let elapsed = now_ms.saturating_sub(packed >> SHED_WEIGHT_BITS);
    let half_lives = elapsed / (SHED_HALF_LIFE.as_millis() as u64);
    weight.checked_shr(u32::try_from(half_lives).unwrap_or(u32::MAX)).unwrap_or(0)
}
