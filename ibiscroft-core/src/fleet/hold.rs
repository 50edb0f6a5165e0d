//! Whether a request waits in the gateway for a better target.

use std::time::Duration;

use super::probe::ProbeReport;
use super::saturation_slowdown::SaturationSlowdown;
use crate::Tick;

/// Time between two looks; a fraction of the time in which a slot becomes free.
const LOOK: Duration = Duration::from_millis(40);
/// Cost from which waiting is worthwhile: that of a target which slows down by what one more
/// request adds.
const CROWDED_COST: f64 = 1.5;
/// Part of the usual time by which an answer may take longer without missing the aim.
const MARGIN: f64 = 0.25;

/// What a request can still wait for.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// When its answer must be given to earn its full credit.
    pub aim_at: Tick,
    /// When its answer must be given at all.
    pub deadline: Tick,
    /// Usual time of its kind of work.
    pub baseline_latency: Duration,
    /// Slowdown of nearly full targets of its service.
    pub slowdown: SaturationSlowdown,
}

impl Hold {
    /// Returns how long to wait at `now` before other targets are asked, if the best one stated
    /// `best`; `None` if the request should not wait.
    ///
    /// A request that waits for a target below its knee is answered sooner than one that slows
    /// down all others at a crowded target, as long as enough time is left for its work.
    #[must_use]
    pub fn delay(&self, now: Tick, best: &ProbeReport) -> Option<Duration> {
        let is_crowded = best.cost(self.slowdown) > CROWDED_COST;
        let answered_at = now + LOOK + self.baseline_latency.mul_f64(1.0 + MARGIN);
        let is_in_time = answered_at <= self.aim_at && answered_at <= self.deadline;
        (is_crowded && is_in_time).then_some(LOOK)
    }
}
