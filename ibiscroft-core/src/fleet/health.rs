//! What the answers of a target say of its health.

use std::time::Duration;

use crate::{Tick, copy_data};

/// Weight of the newest answer in the moving failure rate.
const NEWEST: f64 = 0.3;
/// Failure rate halves in this time without answers.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// First pause after a target could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a target could not be reached.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

copy_data! {
    /// How a send to a target ended.
    pub enum AttemptOutcome {
        /// The target answered.
        Succeeded,
        /// The target refused the request.
        Refused,
        /// The target failed the request, or its answer was lost.
        Failed,
        /// The target could not be reached.
        Unreachable,
    }
}

/// Recent failures of one target at one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetHealth {
    failure_rate: f64,
    noted_at: Tick,
    unreachable: u32,
    paused_until: Tick,
}

impl TargetHealth {
    /// Notes how a send ended.
    pub fn note(&mut self, now: Tick, verdict: AttemptOutcome) {
        let sample = match verdict {
            AttemptOutcome::Succeeded => 0.0,
            AttemptOutcome::Refused => 0.3,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => 1.0,
        };
        self.failure_rate = self.failure_rate(now) * (1.0 - NEWEST) + sample * NEWEST;
        self.noted_at = now;
        if verdict != AttemptOutcome::Unreachable {
            self.unreachable = 0;
            return;
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Returns the share of recent sends that failed, in 0..1.
    #[must_use]
    pub fn failure_rate(&self, now: Tick) -> f64 {
        let half_lives = now.since(self.noted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(half_lives)
    }

    /// Returns whether the target is left alone after it could not be reached.
    #[must_use]
    pub fn is_excluded(&self, now: Tick) -> bool {
        now < self.paused_until
    }
}
