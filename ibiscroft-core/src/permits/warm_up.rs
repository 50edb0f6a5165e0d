//! Judges when a run of a target has left cold start.

use std::time::Duration;

use super::ReportedState;
use crate::Tick;
use crate::config::ColdLimits;
use crate::ids::RunId;

/// Longest gap between two answers that counts as time with traffic.
pub const TRAFFIC_GAP: Duration = Duration::from_secs(1);

/// Progress of one target's cold start, kept by its lease holder.
///
/// A backend server's own word is taken as it comes with each answer. Where it says nothing, a
/// run counts as warm after `ColdLimits::warm_up` with traffic.
#[derive(Debug, Default)]
pub struct WarmUp {
    run: Option<RunId>,
    state: Option<ReportedState>,
    last_answer: Option<Tick>,
    with_traffic: Duration,
}

impl WarmUp {
    /// Returns how many requests may run at once.
    #[must_use]
    pub fn allowance(&self, limits: &ColdLimits) -> u32 {
        if self.last_answer.is_some() { limits.concurrency } else { limits.concurrency.min(1) }
    }

    /// Returns the run that has left cold start.
    #[must_use]
    pub fn warm_run(&self, limits: &ColdLimits) -> Option<&RunId> {
        let is_warm = match self.state? {
            ReportedState::Cold => false,
            ReportedState::Warm => true,
            ReportedState::Unstated => self.with_traffic >= limits.warm_up,
        };
        self.run.as_ref().filter(|_| is_warm)
    }

    /// Takes in an answer of the target.
    pub fn answered(&mut self, run: Option<&RunId>, state: ReportedState, now: Tick) {
        if self.run.as_ref() != run {
            *self = Self { run: run.cloned(), ..Self::default() };
        }
        if let Some(before) = self.last_answer {
            self.with_traffic += now.since(before).min(TRAFFIC_GAP);
        }
        self.last_answer = Some(now);
        self.state = Some(state);
    }

    /// Starts anew: the target fell back into cold start.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
