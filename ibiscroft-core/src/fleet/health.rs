//! Health of a target, derived from the outcomes of attempts.

use std::time::Duration;

use crate::{Tick, copy_data};

/// Weight of the latest outcome in the moving average of the failure rate.
const LATEST_WEIGHT: f64 = 0.3;
/// Time in which the failure rate halves if there are no attempts.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// First backoff after a target could not be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff after a target could not be reached.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

copy_data! {
    /// How an attempt at a target ended.
    pub enum AttemptOutcome {
        /// The target processed the request.
        Succeeded,
        /// The target refused the request.
        Refused,
        /// The target failed the request, or its response was lost.
        Failed,
        /// The target could not be reached.
        Unreachable,
    }
}

/// Recent failures of one target as seen by one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetHealth {
    failure_rate: f64,
    updated_at: Tick,
    consecutive_unreachable: u32,
    excluded_until: Tick,
}

impl TargetHealth {
    /// Records the outcome of an attempt.
    pub fn note(&mut self, now: Tick, outcome: AttemptOutcome) {
        let sample = match outcome {
            AttemptOutcome::Succeeded => 0.0,
            AttemptOutcome::Refused => 0.3,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => 1.0,
        };
        self.failure_rate = self.failure_rate(now) * (1.0 - LATEST_WEIGHT) + sample * LATEST_WEIGHT;
        self.updated_at = now;
        if outcome != AttemptOutcome::Unreachable {
            self.consecutive_unreachable = 0;
            return;
        }
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.consecutive_unreachable.min(8));
        self.consecutive_unreachable += 1;
        self.excluded_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Ends the backoff, as another gateway has reached the target.
    pub fn end_backoff(&mut self, now: Tick) {
        self.consecutive_unreachable = 0;
        self.excluded_until = self.excluded_until.min(now);
    }

    /// Returns the decayed failure rate of recent attempts, in 0..=1.
    #[must_use]
    pub fn failure_rate(&self, now: Tick) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(half_lives)
    }

    /// Returns whether the target is in backoff because it could not be reached.
    #[must_use]
    pub fn is_excluded(&self, now: Tick) -> bool {
        now < self.excluded_until
    }
}
