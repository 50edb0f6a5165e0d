//! Simulated backend server that counts its requests in cold start and detects violations.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::RunId;
use ibiscroft_core::permits::ReportedState;

/// Permission under which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendBasis {
    /// A permit that was valid when the request was written.
    Permit,
    /// A permit that expired while the gateway was paused between check and write.
    ExpiredPermit,
    /// A certificate.
    Certificate,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) basis: SendBasis,
    pub(crate) ends_at: Tick,
}

/// Request counters of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Counters {
    /// Largest number of concurrent requests under valid permits in cold start.
    pub(crate) cold_max: usize,
    /// Requests that arrived in cold start under an outdated certificate.
    pub(crate) cold_certified: usize,
    /// Requests that a paused gateway wrote after the permit had expired.
    pub(crate) late: usize,
    /// Requests that arrived when warm.
    pub(crate) warm: usize,
}

/// A backend server.
pub(crate) struct Backend {
    pub(crate) concurrency_limit: usize,
    /// Whether its responses report its state.
    pub(crate) reports_state: bool,
    pub(crate) run: u32,
    pub(crate) cold_since: Tick,
    pub(crate) is_cold: bool,
    /// Whether the current or last cold start began with a restart.
    pub(crate) was_restarted: bool,
    first_request: Option<Tick>,
    running: Vec<Running>,
    pub(crate) counters: Counters,
}

/// Time after the first request at which a backend server leaves cold start.
const COLD_START_DURATION: Duration = Duration::from_millis(1_500);

impl Backend {
    pub(crate) fn new(concurrency_limit: usize, reports_state: bool) -> Self {
        Self {
            concurrency_limit,
            reports_state,
            run: 1,
            cold_since: Tick::ZERO,
            is_cold: true,
            was_restarted: true,
            first_request: None,
            running: Vec::new(),
            counters: Counters::default(),
        }
    }

    pub(crate) fn run_id(&self) -> RunId {
        RunId::new(format!("run-{}", self.run))
    }

    pub(crate) fn reported(&self) -> ReportedState {
        match (self.reports_state, self.is_cold) {
            (false, _) => ReportedState::Unstated,
            (true, true) => ReportedState::Cold,
            (true, false) => ReportedState::Warm,
        }
    }

    pub(crate) fn restart(&mut self, now: Tick) {
        self.run += 1;
        self.running.clear();
        self.fall_cold(now);
        self.was_restarted = true;
    }

    pub(crate) fn fall_cold(&mut self, now: Tick) {
        self.is_cold = true;
        self.was_restarted = false;
        self.cold_since = now;
        self.first_request = None;
    }

    pub(crate) fn tick(&mut self, now: Tick) {
        self.running.retain(|running| running.ends_at > now);
        if self.first_request.is_some_and(|first| now >= first + COLD_START_DURATION) {
            self.is_cold = false;
        }
    }

    /// Counts a request that arrives.
    ///
    /// # Errors
    ///
    /// Returns the violation when a cold server has more concurrent requests than its limit.
    pub(crate) fn receive(
        &mut self,
        basis: SendBasis,
        ends_at: Tick,
        now: Tick,
    ) -> Result<(), String> {
        self.running.push(Running { basis, ends_at });
        if !self.is_cold {
            self.counters.warm += 1;
            return Ok(());
        }
        self.first_request.get_or_insert(now);
        match basis {
            SendBasis::Certificate => self.counters.cold_certified += 1,
            SendBasis::ExpiredPermit => self.counters.late += 1,
            SendBasis::Permit => {}
        }
        let permitted =
            self.running.iter().filter(|running| running.basis == SendBasis::Permit).count();
        self.counters.cold_max = self.counters.cold_max.max(permitted);
        if permitted > self.concurrency_limit {
            return Err(format!(
                "{permitted} concurrent requests at a cold target with concurrency limit {}",
                self.concurrency_limit
            ));
        }
        Ok(())
    }
}
