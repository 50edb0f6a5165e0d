//! How much slower the targets of a service are when they are nearly full.

use super::probe::ProbeReport;

/// Slowdown that is assumed before any answer; some services show none.
const ASSUMED: f64 = 1.6;
/// Answers that the assumption weighs as much as.
const ASSUMED_WEIGHT: f64 = 2.0;
/// Answers after which older ones are forgotten.
const MEMORY: f64 = 40.0;
/// Range of an answer's slowdown that counts; beyond it the target had other trouble.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 0.4..=4.0;
/// Slowness of a target up to which its answers count.
const USUAL_SLOWNESS: f64 = 1.2;

/// Slowdown of nearly full targets, learned from the answers of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SaturationSlowdown {
    factor: f64,
    weight: f64,
}

impl Default for SaturationSlowdown {
    fn default() -> Self {
        Self { factor: ASSUMED, weight: ASSUMED_WEIGHT }
    }
}

impl SaturationSlowdown {
    /// Notes that an answer of a target that had stated `report` took `ratio` times as long as
    /// one of an idle target.
    pub fn note(&mut self, report: &ProbeReport, ratio: f64) {
        let is_plain = report.has_free_slot()
            && report.cold_left.is_zero()
            && report.slowness <= USUAL_SLOWNESS;
        if !report.is_near_saturation() || !is_plain || !PLAUSIBLE.contains(&ratio) {
            return;
        }
        self.weight = (self.weight + 1.0).min(MEMORY);
        self.factor += (ratio - self.factor) / self.weight;
    }

    /// Returns the factor by which a nearly full target is slower, at least 1.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.factor.max(1.0)
    }
}
