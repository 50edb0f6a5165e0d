//! A model backend server that counts requests while it is cold; it is the oracle.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::RunId;
use ibiscroft_core::permits::ReportedState;

/// How a request came to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Under a permit that was valid when the request was written.
    Permit,
    /// Under a permit that ended while the gateway was frozen between check and write.
    Late,
    /// Under a certificate.
    Certificate,
}

#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) way: Way,
    pub(crate) ends_at: Tick,
}

/// What the backend servers counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Counters {
    /// Most requests under valid permits at once while cold.
    pub(crate) cold_max: usize,
    /// Requests that arrived while cold under a certificate of an earlier state.
    pub(crate) cold_certified: usize,
    /// Requests that a frozen gateway wrote after its permit ended.
    pub(crate) late: usize,
    /// Requests served while warm.
    pub(crate) warm: usize,
}

pub(crate) struct Backend {
    pub(crate) bears: usize,
    pub(crate) states: bool,
    pub(crate) run: u32,
    pub(crate) cold_since: Tick,
    pub(crate) is_cold: bool,
    pub(crate) was_restarted: bool,
    first_request: Option<Tick>,
    running: Vec<Running>,
    pub(crate) counters: Counters,
}

/// Time after its first request at which a backend server leaves cold start.
const COLD_TIME: Duration = Duration::from_millis(1_500);

impl Backend {
    pub(crate) fn new(bears: usize, states: bool) -> Self {
        Self {
            bears,
            states,
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
        match (self.states, self.is_cold) {
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
        if self.first_request.is_some_and(|first| now >= first + COLD_TIME) {
            self.is_cold = false;
        }
    }

    /// Counts a request that arrives; returns the broken promise, if any.
    pub(crate) fn receive(&mut self, way: Way, ends_at: Tick, now: Tick) -> Result<(), String> {
        self.running.push(Running { way, ends_at });
        if !self.is_cold {
            self.counters.warm += 1;
            return Ok(());
        }
        self.first_request.get_or_insert(now);
        match way {
            Way::Certificate => self.counters.cold_certified += 1,
            Way::Late => self.counters.late += 1,
            Way::Permit => {}
        }
        let permitted = self.running.iter().filter(|running| running.way == Way::Permit).count();
        self.counters.cold_max = self.counters.cold_max.max(permitted);
        if permitted > self.bears {
            return Err(format!("{permitted} requests at a cold target that bears {}", self.bears));
        }
        Ok(())
    }
}
