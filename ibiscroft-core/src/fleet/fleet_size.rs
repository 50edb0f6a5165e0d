//! Number of gateways among which the budgets of the fleet are divided.
//!
//! Each gateway reports to its source how many gateways it represents: itself and its followers.
//! The gateway that reads the store writes the total there. Budgets are divided by the largest
//! count of the last seconds, so that the shares do not grow while some gateways are briefly
//! unavailable.

use std::time::Duration;

use super::target::GatewayCount;
use crate::Tick;

/// Count assumed before one is known.
const DEFAULT_COUNT: GatewayCount = GatewayCount(32);
/// Time for which a count remains in effect after it was replaced by a smaller one.
const PEAK_RETENTION: Duration = Duration::from_secs(30);
/// Time for which a smaller count must persist before it is written.
const DECREASE_DELAY: Duration = Duration::from_secs(15);
/// Time for which a larger count must persist before it is written.
const INCREASE_DELAY: Duration = Duration::from_millis(700);
/// Minimum change of the count that is written, relative to the count in the store.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// Number of gateways by which budgets are divided.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    known: Option<GatewayCount>,
    /// Largest count that was replaced by a smaller one; in effect for [`PEAK_RETENTION`].
    peak: GatewayCount,
    /// When `peak` was replaced.
    peak_at: Tick,
}

impl FleetSize {
    /// Records the count that was read from the store.
    pub fn note(&mut self, now: Tick, count: GatewayCount) {
        let previous = self.get(now);
        if self.known.is_some() && previous > count && previous >= self.peak {
            (self.peak, self.peak_at) = (previous, now);
        }
        self.known = Some(count);
    }

    /// Returns the number of gateways to divide by, at least 1.
    #[must_use]
    pub fn get(&self, now: Tick) -> GatewayCount {
        let Some(known) = self.known else {
            return DEFAULT_COUNT;
        };
        let recent = if now.since(self.peak_at) < PEAK_RETENTION { self.peak } else { known };
        known.max(recent).max(GatewayCount(1))
    }
}

/// Decides when a changed number of gateways is written to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSizeDebounce {
    /// When the count began to differ from the stored one in the present direction.
    differs_since: Option<Tick>,
    is_increase: bool,
}

impl FleetSizeDebounce {
    /// Returns whether `count` should now replace `stored` in the store.
    pub fn is_due(&mut self, now: Tick, stored: Option<GatewayCount>, count: GatewayCount) -> bool {
        let Some(stored) = stored else {
            return true;
        };
        let difference = f64::from(count.get().abs_diff(stored.get()));
        if difference == 0.0 || difference < f64::from(stored.get()) * MIN_RELATIVE_CHANGE {
            self.differs_since = None;
            return false;
        }
        let is_increase = count > stored;
        if self.differs_since.is_none() || is_increase != self.is_increase {
            self.differs_since = Some(now);
            self.is_increase = is_increase;
        }
        let delay = if is_increase { INCREASE_DELAY } else { DECREASE_DELAY };
        self.differs_since.is_some_and(|since| now.since(since) >= delay)
    }
}
