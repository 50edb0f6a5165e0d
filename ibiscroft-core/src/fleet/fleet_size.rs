//! How many gateways share the budgets of the fleet.
//!
//! Each gateway tells the one that it follows how many it speaks for, and the one that reads the
//! store writes the sum there. Budgets are divided by the largest number of the last seconds, so
//! that gateways that are away for a moment do not raise the parts of the others.

use std::time::Duration;

use super::target::GatewayCount;
use crate::Tick;

/// Gateways that are assumed before any number is known.
const UNKNOWN: GatewayCount = GatewayCount(32);
/// Time for which a larger number than the present one still counts.
const PEAK_LASTS: Duration = Duration::from_secs(30);
/// Time for which a smaller sum must hold before it is written.
const SHRINK_AFTER: Duration = Duration::from_secs(15);
/// Time for which a larger sum must hold before it is written.
const GROW_AFTER: Duration = Duration::from_millis(700);
/// Part by which a sum must differ from the written one.
const NOTABLE: f64 = 0.1;

/// The number of gateways by which budgets are divided.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    known: Option<GatewayCount>,
    peak: GatewayCount,
    peak_at: Tick,
}

impl FleetSize {
    /// Notes the number that the store holds.
    pub fn note(&mut self, now: Tick, count: GatewayCount) {
        let old = self.get(now);
        if self.known.is_some() && old > count && old >= self.peak {
            (self.peak, self.peak_at) = (old, now);
        }
        self.known = Some(count);
    }

    /// Returns the number to divide by, at least 1.
    #[must_use]
    pub fn get(&self, now: Tick) -> GatewayCount {
        let Some(known) = self.known else {
            return UNKNOWN;
        };
        let recent = if now.since(self.peak_at) < PEAK_LASTS { self.peak } else { known };
        known.max(recent).max(GatewayCount(1))
    }
}

/// Decides when a changed sum is written to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSizeDebounce {
    differs_since: Option<Tick>,
    grows: bool,
}

impl FleetSizeDebounce {
    /// Returns whether `sum` is to be written in place of `known`.
    pub fn is_due(&mut self, now: Tick, known: Option<GatewayCount>, sum: GatewayCount) -> bool {
        let Some(known) = known else {
            return true;
        };
        let difference = f64::from(sum.get().abs_diff(known.get()));
        if difference == 0.0 || difference < f64::from(known.get()) * NOTABLE {
            self.differs_since = None;
            return false;
        }
        let grows = sum > known;
        if self.differs_since.is_none() || grows != self.grows {
            self.differs_since = Some(now);
            self.grows = grows;
        }
        let wait = if grows { GROW_AFTER } else { SHRINK_AFTER };
        self.differs_since.is_some_and(|since| now.since(since) >= wait)
    }
}
