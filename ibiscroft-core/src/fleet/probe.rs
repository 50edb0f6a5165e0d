//! Choice among targets by what they say of their load right before the send.
//!
//! Load shifts within milliseconds, so what a target reported with its last answer is stale by
//! the time of the next request. A gateway asks a few targets and sends to the one that will
//! answer soonest; an idle one is taken as soon as it has said so.

use std::time::Duration;

use super::saturation_slowdown::SaturationSlowdown;
use crate::ids::Slots;

/// Share of busy slots above which targets may be slower.
const KNEE: f64 = 0.8;
/// Factor by which a cold target is slower.
const COLD_FACTOR: f64 = 2.0;
/// Slowdown from which one more request at a nearly full target delays the others.
const NOTABLE_SLOWDOWN: f64 = 1.2;
/// Cost up to which the first target that answered is taken.
const GOOD_COST: f64 = 1.05;
/// Cost up to which the best target is taken after a round of questions, else others are asked:
/// below that of a nearly full target at first, then below that of a wait line; the last round
/// only looks for a target that can be reached.
const ACCEPTED_COSTS: [f64; MAX_PROBE_ROUNDS] = [1.45, 1.45, 1.9, f64::MAX];
/// Weight of a target's failure rate in its cost.
const FAILURE_WEIGHT: f64 = 8.0;

/// Cost of a target that says that it is ill; health checks may be wrong, so one is sent to when
/// there is no other.
const ILL_COST: f64 = 20.0;

/// What a target says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Time that work takes now, relative to the usual.
    pub slowness: f64,
    /// How much longer the target stays cold; zero when it is warm.
    pub cold_left: Duration,
    /// Whether the target says that it can serve.
    pub is_healthy: bool,
}

impl ProbeReport {
    /// Returns whether one more request would run at once.
    #[must_use]
    pub const fn has_free_slot(&self) -> bool {
        self.running + self.waiting < self.slots.get()
    }

    /// Returns whether one more request would slow down those that run, or wait.
    #[must_use]
    pub fn is_near_saturation(&self) -> bool {
        f64::from(self.running + self.waiting + 1) > KNEE * f64::from(self.slots.get())
    }

    /// Returns the expected time of one more request, in units of its usual time, at a target
    /// that slows down by `slowdown` when it is nearly full.
    #[must_use]
    pub fn cost(&self, slowdown: SaturationSlowdown) -> f64 {
        let slowdown = if self.is_near_saturation() { slowdown.factor() } else { 1.0 };
        self.unsaturated_cost() * slowdown
    }

    /// Returns the time within which an answer must be expected for a request to be sent, if it
    /// has `left` time and `aim_left` of it until its aim.
    ///
    /// A late answer is still worth a free slot, but not the delay of those before it.
    #[must_use]
    pub fn max_useful_latency(
        &self,
        slowdown: SaturationSlowdown,
        aim_left: Duration,
        left: Duration,
    ) -> Duration {
        let delays_others = self.is_near_saturation() && slowdown.factor() > NOTABLE_SLOWDOWN;
        if self.has_free_slot() && !delays_others { left } else { aim_left.min(left) }
    }

    /// Returns the expected time of one more request if being nearly full did not matter.
    #[must_use]
    pub fn unsaturated_cost(&self) -> f64 {
        let slots = f64::from(self.slots.get().max(1));
        let busy = f64::from(self.running + self.waiting) + 1.0;
        let cold = if self.cold_left.is_zero() { 1.0 } else { COLD_FACTOR };
        let queued = (busy - slots).max(0.0);
        self.slowness * cold * (1.0 + queued / slots)
    }
}

/// Rounds of questions that one request may take.
pub const MAX_PROBE_ROUNDS: usize = 4;

/// What to do after a target answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeDecision {
    /// Send the request to the target with this index.
    Send(usize),
    /// Wait for the others.
    Wait,
}

/// One request's choice among the targets that were asked.
#[derive(Clone, Debug, Default)]
pub struct ProbeSelection {
    slowdown: SaturationSlowdown,
    asked: usize,
    ended: usize,
    best: Option<(f64, usize)>,
}

impl ProbeSelection {
    /// Makes the choice among targets that slow down by `slowdown` when they are nearly full.
    #[must_use]
    pub fn new(slowdown: SaturationSlowdown) -> Self {
        Self { slowdown, ..Self::default() }
    }

    /// Counts a target that was asked.
    pub fn note_probe_sent(&mut self) {
        self.asked += 1;
    }

    /// Takes the answer of the target with index `index`.
    ///
    /// `extra` is what a send there costs besides, in units of a request's usual time, such as
    /// the way to another zone; `failure_rate` is the target's recent one.
    pub fn on_report(
        &mut self,
        index: usize,
        report: &ProbeReport,
        extra: f64,
        failure_rate: f64,
    ) -> ProbeDecision {
        self.ended += 1;
        let illness = if report.is_healthy { 0.0 } else { ILL_COST };
        let cost = report.cost(self.slowdown) + extra + failure_rate * FAILURE_WEIGHT + illness;
        if self.best.is_none_or(|(least, _)| cost < least) {
            self.best = Some((cost, index));
        }
        self.step()
    }

    /// Notes that a target that was asked gave no usable answer.
    pub fn on_failure(&mut self) -> ProbeDecision {
        self.ended += 1;
        self.step()
    }

    /// Returns the best target so far with its cost.
    #[must_use]
    pub fn best(&self) -> Option<(f64, usize)> {
        self.best
    }

    /// Returns whether the best target is good enough after the round with this number, from 0.
    #[must_use]
    pub fn accepts_best(&self, round: usize) -> bool {
        let limit = ACCEPTED_COSTS.get(round).copied().unwrap_or(f64::MAX);
        self.best.is_some_and(|(cost, _)| cost <= limit)
    }

    /// Returns whether each target that was asked has answered or failed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.ended >= self.asked
    }

    fn step(&self) -> ProbeDecision {
        match self.best {
            Some((cost, index)) if cost <= GOOD_COST || self.is_complete() => {
                ProbeDecision::Send(index)
            }
            _ => ProbeDecision::Wait,
        }
    }
}
