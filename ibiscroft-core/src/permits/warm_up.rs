//! Detection that a run of a target has left cold start.

use std::time::Duration;

use super::ReportedState;
use crate::Tick;
use crate::config::ColdLimits;
use crate::ids::RunId;

/// Longest time between two responses that counts as time with traffic.
///
/// Of a longer gap, only this much counts.
pub const MAX_TRAFFIC_GAP: Duration = Duration::from_secs(1);

/// Cold start progress of one target, kept by its lease holder.
///
/// The state that a backend server reports with its responses decides. Without a reported state, a
/// run counts as warm after `ColdLimits::warm_up` with traffic.
#[derive(Debug, Default)]
pub struct WarmUp {
    run: Option<RunId>,
    state: Option<ReportedState>,
    last_response_at: Option<Tick>,
    time_with_traffic: Duration,
}

impl WarmUp {
    /// Returns how many requests may run at once: one until the first response, then
    /// `ColdLimits::concurrency`.
    #[must_use]
    pub fn allowed_concurrency(&self, limits: &ColdLimits) -> u32 {
        if self.last_response_at.is_some() { limits.concurrency } else { limits.concurrency.min(1) }
    }

    /// Returns the run that has left cold start, if any.
    #[must_use]
    pub fn warm_run(&self, limits: &ColdLimits) -> Option<&RunId> {
        let is_warm = match self.state? {
            ReportedState::Cold => false,
            ReportedState::Warm => true,
            ReportedState::Unstated => self.time_with_traffic >= limits.warm_up,
        };
        self.run.as_ref().filter(|_| is_warm)
    }

    /// Handles a response of the target; a response of another run restarts the progress.
    pub fn on_response(&mut self, run: Option<&RunId>, state: ReportedState, now: Tick) {
        if self.run.as_ref() != run {
            *self = Self { run: run.cloned(), ..Self::default() };
        }
        if let Some(previous) = self.last_response_at {
            self.time_with_traffic += now.since(previous).min(MAX_TRAFFIC_GAP);
        }
        self.last_response_at = Some(now);
        self.state = Some(state);
    }

    /// Restarts the progress, as the target is in cold start again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
