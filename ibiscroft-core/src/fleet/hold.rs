//! Decides whether a request is held in the gateway until a better target is available.

use std::time::Duration;

use super::probe::ProbeReport;
use super::saturation_slowdown::SaturationSlowdown;
use crate::Tick;

/// Delay before targets are probed again; a fraction of the time in which a slot becomes free.
const REPROBE_INTERVAL: Duration = Duration::from_millis(40);
/// Cost of the best target above which a request is held. A target that one more request would slow
/// down typically costs more than this.
const HOLD_COST: f64 = 1.5;
/// Margin for responses that are slower than usual, relative to the baseline latency.
const LATENCY_MARGIN: f64 = 0.25;

/// Time limits and expected latency of a request that may be held.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// When the response is due to meet the aim of the route.
    pub aim_at: Tick,
    /// When the request times out.
    pub deadline: Tick,
    /// Usual latency of requests of this kind.
    pub baseline_latency: Duration,
    /// Slowdown of the service's targets near saturation.
    pub slowdown: SaturationSlowdown,
}

impl Hold {
    /// Returns how long to hold the request before other targets are probed, if `best` is the
    /// report of the best target so far; `None` if the request should not be held.
    ///
    /// Held until a target below its knee is found, a request finishes sooner than at a target
    /// near saturation, where it would also slow down all others. It is held only while enough
    /// time remains to process it.
    #[must_use]
    pub fn delay(&self, now: Tick, best: &ProbeReport) -> Option<Duration> {
        let is_best_slow = best.cost(self.slowdown) > HOLD_COST;
        let response_at =
            now + REPROBE_INTERVAL + self.baseline_latency.mul_f64(1.0 + LATENCY_MARGIN);
        let is_in_time = response_at <= self.aim_at && response_at <= self.deadline;
        (is_best_slow && is_in_time).then_some(REPROBE_INTERVAL)
    }
}
