//! Learns how much slower the targets of a service are near saturation.

use super::probe::ProbeReport;

/// Factor assumed before the first response. The true factor differs by service; some services
/// do not slow down at all.
const INITIAL_FACTOR: f64 = 1.6;
/// Weight of the initial factor, in responses.
const INITIAL_WEIGHT: f64 = 2.0;
/// Maximum weight of the earlier responses, so that the factor follows changes of the service.
const MAX_WEIGHT: f64 = 40.0;
/// Range of ratios that are taken into account; others have a cause other than saturation.
const PLAUSIBLE_RATIOS: std::ops::RangeInclusive<f64> = 0.4..=4.0;
/// Maximum reported slowness of a target whose responses are taken into account.
const MAX_SLOWNESS: f64 = 1.2;

/// Slowdown of targets near saturation, learned from the responses of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SaturationSlowdown {
    factor: f64,
    weight: f64,
}

impl Default for SaturationSlowdown {
    fn default() -> Self {
        Self { factor: INITIAL_FACTOR, weight: INITIAL_WEIGHT }
    }
}

impl SaturationSlowdown {
    /// Records a response of a target that had returned `report` when it was probed.
    ///
    /// `ratio` is the latency of the response divided by the expected latency at an idle target.
    /// The response is ignored unless saturation alone can explain the ratio: the target must be
    /// near saturation, but have a free slot, be warm and run at its usual speed.
    pub fn note(&mut self, report: &ProbeReport, ratio: f64) {
        let has_no_other_cause =
            report.has_free_slot() && report.cold_left.is_zero() && report.slowness <= MAX_SLOWNESS;
        if !report.is_near_saturation() || !has_no_other_cause || !PLAUSIBLE_RATIOS.contains(&ratio)
        {
            return;
        }
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.factor += (ratio - self.factor) / self.weight;
    }

    /// Returns the factor by which latency rises near saturation, at least 1.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.factor.max(1.0)
    }
}
