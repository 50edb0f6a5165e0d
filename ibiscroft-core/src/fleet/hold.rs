//! Decides whether a request is held in the gateway until a better target is available.

use std::time::Duration;

use super::priority::Standing;
use super::probe::ProbeReport;
use super::saturation_slowdown::SaturationSlowdown;
use crate::Tick;

/// Delay before targets are probed again; a fraction of the time in which a slot becomes free.
const REPROBE_INTERVAL: Duration = Duration::from_millis(40);
/// Delay before targets are probed again for a request that can no longer meet its aim. It is
/// longer, so that requests that can still meet theirs find most of the free capacity.
const LATE_REPROBE_INTERVAL: Duration = Duration::from_millis(160);
/// Delay for the most urgent requests of a service.
const URGENT_REPROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest delay of a request that could still meet its aim.
const MAX_REPROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Part of the time that a less urgent request can spare for which it is held at once.
const SPARE_FRACTION: u32 = 8;
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
    /// Whether a request that can no longer meet its aim is held as well, as long as it can meet
    /// its deadline.
    pub holds_late: bool,
    /// How the request compares with others of its service.
    pub standing: Standing,
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
        if !is_best_slow || response_at > self.deadline {
            return None;
        }
        if response_at <= self.aim_at {
            return self.delay_before_aim(now, best, self.aim_at.since(response_at));
        }
        let spare = self.deadline.since(response_at);
        (self.holds_late && spare >= LATE_REPROBE_INTERVAL).then_some(LATE_REPROBE_INTERVAL)
    }

    /// Returns the delay of a request that can meet its aim if it is sent within `spare`.
    ///
    /// Whoever probes more often finds more of the free capacity. So the delay of a request grows
    /// with the time that it can spare if more urgent ones compete for the same targets, and the
    /// most urgent ones do not wait at all for a target where they would still be in time.
    fn delay_before_aim(&self, now: Tick, best: &ProbeReport, spare: Duration) -> Option<Duration> {
        match self.standing {
            Standing::Equal => Some(REPROBE_INTERVAL),
            Standing::MostUrgent => {
                let latency = self.baseline_latency.mul_f64(best.cost(self.slowdown));
                let is_in_time = now + latency.mul_f64(1.0 + LATENCY_MARGIN) <= self.aim_at;
                (!is_in_time || !best.has_free_slot()).then_some(URGENT_REPROBE_INTERVAL)
            }
            Standing::LessUrgent => {
                Some((spare / SPARE_FRACTION).clamp(REPROBE_INTERVAL, MAX_REPROBE_INTERVAL))
            }
        }
    }
}
