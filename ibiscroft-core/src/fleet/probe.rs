//! Selects a target by probes sent immediately before a request.
//!
//! Load changes within milliseconds, so the load that a target reported with its last response is
//! outdated by the time of the next request. A gateway probes a few targets and selects the one
//! with the lowest expected latency; an idle target is selected as soon as its report arrives.

use std::time::Duration;

use super::saturation_slowdown::SaturationSlowdown;
use crate::ids::Slots;

/// Share of busy slots above which a target may slow down.
const KNEE: f64 = 0.8;
/// Factor by which a cold target is slower.
const COLD_FACTOR: f64 = 2.0;
/// Saturation slowdown from which another request at a target near saturation delays the others.
const DELAYING_SLOWDOWN: f64 = 1.2;
/// Cost up to which a target is selected without waiting for the remaining reports.
const IMMEDIATE_COST: f64 = 1.05;
/// Cost up to which the best target is accepted after each round; above it, more targets are
/// probed. The first two limits are below the cost of a target near saturation, the third is below
/// that of a target with queued requests, and after the last round any target is accepted.
const ACCEPTED_COSTS: [f64; MAX_PROBE_ROUNDS] = [1.45, 1.45, 1.9, f64::MAX];
/// Weight of a target's failure rate in its cost.
const FAILURE_WEIGHT: f64 = 8.0;

/// Additional cost of a target that reports itself as unhealthy. As health checks may be wrong, it
/// is still used if there is no other.
const UNHEALTHY_COST: f64 = 20.0;
/// Age from which a report does not tell whether a slot is still free.
const MAX_REPORT_AGE: Duration = Duration::from_millis(50);
/// Age below which a reported free slot is most likely still free.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(20);

/// Load of a target as reported by a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeReport {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the target processes concurrently.
    pub slots: Slots,
    /// Current processing time relative to the usual one.
    pub slowness: f64,
    /// Remaining time for which the target stays cold; zero when it is warm.
    pub cold_left: Duration,
    /// Whether the target reports itself as healthy.
    pub is_healthy: bool,
}

impl ProbeReport {
    /// Returns whether one more request would be processed without queueing.
    #[must_use]
    pub const fn has_free_slot(&self) -> bool {
        self.running + self.waiting < self.slots.get()
    }

    /// Returns whether the target may be full for a request that is sent `age` after the report. A
    /// full target may reset the connection.
    #[must_use]
    pub fn may_be_full(&self, age: Duration) -> bool {
        !self.has_free_slot() || age > MAX_REPORT_AGE
    }

    /// Returns whether the target most likely has a free slot `age` after the report.
    #[must_use]
    pub fn likely_has_free_slot(&self, age: Duration) -> bool {
        self.has_free_slot() && age < FRESH_REPORT_AGE
    }

    /// Returns whether one more request would take the target above its knee, where it slows down
    /// running requests or is queued.
    #[must_use]
    pub fn is_near_saturation(&self) -> bool {
        f64::from(self.running + self.waiting + 1) > KNEE * f64::from(self.slots.get())
    }

    /// Returns the expected latency of one more request relative to its baseline latency, at a
    /// target that slows down by `slowdown` near saturation.
    #[must_use]
    pub fn cost(&self, slowdown: SaturationSlowdown) -> f64 {
        let factor = if self.is_near_saturation() { slowdown.factor() } else { 1.0 };
        self.unsaturated_cost() * factor
    }

    /// Returns the expected latency up to which a request is worth sending, if `left` remains until
    /// its deadline and `aim_left` until its aim.
    ///
    /// A response after the aim still justifies the use of a free slot, but not a delay of other
    /// requests.
    #[must_use]
    pub fn max_useful_latency(
        &self,
        slowdown: SaturationSlowdown,
        aim_left: Duration,
        left: Duration,
    ) -> Duration {
        let delays_others = self.is_near_saturation() && slowdown.factor() > DELAYING_SLOWDOWN;
        if self.has_free_slot() && !delays_others { left } else { aim_left.min(left) }
    }

    /// Returns the cost of one more request without the slowdown near saturation.
    #[must_use]
    pub fn unsaturated_cost(&self) -> f64 {
        let slots = f64::from(self.slots.get().max(1));
        let load = f64::from(self.running + self.waiting) + 1.0;
        let cold = if self.cold_left.is_zero() { 1.0 } else { COLD_FACTOR };
        let queued = (load - slots).max(0.0);
        self.slowness * cold * (1.0 + queued / slots)
    }
}

/// Maximum number of rounds of probes for one request.
pub const MAX_PROBE_ROUNDS: usize = 4;

/// What to do after the result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeDecision {
    /// Send the request to the target with this index.
    Send(usize),
    /// Wait for further results.
    Wait,
}

/// Selection among the targets that were probed for one request.
#[derive(Clone, Debug, Default)]
pub struct ProbeSelection {
    slowdown: SaturationSlowdown,
    sent: usize,
    completed: usize,
    /// Lowest cost so far and the index of its target.
    best: Option<(f64, usize)>,
    /// Cost and index of each target that has reported.
    reported: Vec<(f64, usize)>,
}

impl ProbeSelection {
    /// Creates a selection among targets that slow down by `slowdown` near saturation.
    #[must_use]
    pub fn new(slowdown: SaturationSlowdown) -> Self {
        Self { slowdown, ..Self::default() }
    }

    /// Records that a probe was sent.
    pub fn note_probe_sent(&mut self) {
        self.sent += 1;
    }

    /// Records the report of the target with index `index`.
    ///
    /// `extra_cost` is added to the target's cost, for instance for the path to another zone;
    /// `failure_rate` is the recent failure rate of the target.
    pub fn on_report(
        &mut self,
        index: usize,
        report: &ProbeReport,
        extra_cost: f64,
        failure_rate: f64,
    ) -> ProbeDecision {
        self.completed += 1;
        let health_cost = if report.is_healthy { 0.0 } else { UNHEALTHY_COST };
        let cost =
            report.cost(self.slowdown) + extra_cost + failure_rate * FAILURE_WEIGHT + health_cost;
        self.reported.push((cost, index));
        if self.best.is_none_or(|(lowest, _)| cost < lowest) {
            self.best = Some((cost, index));
        }
        self.decide()
    }

    /// Records that a probe returned no usable report.
    pub fn on_failure(&mut self) -> ProbeDecision {
        self.completed += 1;
        self.decide()
    }

    /// Returns the lowest cost so far and the index of its target.
    #[must_use]
    pub fn best(&self) -> Option<(f64, usize)> {
        self.best
    }

    /// Returns the lowest cost of the targets for which `is_preferred` returns true, and the index of
    /// its target; the lowest of all if there are none.
    #[must_use]
    pub fn best_preferred(&self, is_preferred: impl Fn(usize) -> bool) -> Option<(f64, usize)> {
        let preferred = self.reported.iter().filter(|(_, index)| is_preferred(*index));
        preferred.copied().min_by(|(a, _), (b, _)| a.total_cmp(b)).or(self.best)
    }

    /// Returns whether the best target is accepted after the given round, counted from 0.
    #[must_use]
    pub fn accepts_best(&self, round: usize) -> bool {
        let limit = ACCEPTED_COSTS.get(round).copied().unwrap_or(f64::MAX);
        self.best.is_some_and(|(cost, _)| cost <= limit)
    }

    /// Returns whether every probe has returned a report or failed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.completed >= self.sent
    }

    fn decide(&self) -> ProbeDecision {
        match self.best {
            Some((cost, index)) if cost <= IMMEDIATE_COST || self.is_complete() => {
                ProbeDecision::Send(index)
            }
            _ => ProbeDecision::Wait,
        }
    }
}
