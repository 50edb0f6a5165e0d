//! A gateway of the experiment: its view of the load and the calls that it sends.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use ibiscroft_core::Tick;
use ibiscroft_core::selection::{
    AttemptedTargets, Candidate, LoadReport, Pool, Selection, Selector,
};
use ibiscroft_wire::headers;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use reqwest::{Client, Response, StatusCode};

use crate::load::PlannedCall;

/// One call that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinishedCall {
    /// Planned time since the start of the cell.
    pub(super) at: Duration,
    /// Time from the planned time to the end of the response or the last refusal.
    pub(super) latency: Duration,
    /// Work of the call.
    pub(super) work: Duration,
    /// Whether a target answered.
    pub(super) answered: bool,
    /// Number of targets that refused the call or failed.
    pub(super) refusals: usize,
}

impl FinishedCall {
    /// Returns the latency minus the work of the call.
    pub(super) fn wait(&self) -> Duration {
        self.latency.saturating_sub(self.work)
    }
}

/// A gateway of the experiment.
#[derive(Debug)]
pub(super) struct ExperimentGateway<S> {
    pool: Arc<Pool>,
    selector: S,
    rng: Mutex<SmallRng>,
    client: Client,
}

impl<S: Selector> ExperimentGateway<S> {
    pub(super) fn new(pool: Arc<Pool>, selector: S, seed: u64) -> Result<Self> {
        let client = Client::builder().no_proxy().http1_only().tcp_nodelay(true).build()?;
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Ok(Self { pool, selector, rng, client })
    }

    /// Sends a call to one target after another until one answers.
    pub(super) async fn call(&self, call: &PlannedCall, started: Instant) -> FinishedCall {
        let due = started + call.at;
        let mut attempted = AttemptedTargets::default();
        let mut refusals = 0;
        let mut answered = false;
        while let Some(index) = self.select(&attempted, started) {
            attempted.insert(index);
            if self.attempt(self.pool.candidate(index), call.work_ms, started).await {
                answered = true;
                break;
            }
            refusals += 1;
        }
        let work = Duration::from_secs_f64(call.work_ms / 1_000.0);
        FinishedCall { at: call.at, latency: due.elapsed(), work, answered, refusals }
    }

    fn select(&self, attempted: &AttemptedTargets, started: Instant) -> Option<usize> {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        match self.selector.select(&self.pool, attempted, now(started), &mut *rng) {
            Selection::Warm(index) => Some(index),
            _ => None,
        }
    }

    /// Sends a call to one target; returns whether it answered completely.
    async fn attempt(&self, candidate: &Candidate, work_ms: f64, started: Instant) -> bool {
        let in_flight = candidate.load.begin_request();
        let url = format!("http://{}/?work_ms={work_ms:.3}", candidate.target.address);
        let Ok(response) = self.client.get(url).send().await else {
            return false;
        };
        if let Some(report) = reported_load(&response) {
            candidate.load.record_report(report);
        }
        if response.status() != StatusCode::OK {
            in_flight.end_shed(now(started));
            return false;
        }
        let is_complete = response.bytes().await.is_ok();
        in_flight.end_answered(now(started));
        is_complete
    }
}

/// Returns the load that a response reports.
fn reported_load(response: &Response) -> Option<LoadReport> {
    parse_report(response.headers().get(headers::LOAD)?.to_str().ok()?)
}

/// Parses a load of the form `running/slots/waiting`.
pub(super) fn parse_report(text: &str) -> Option<LoadReport> {
    let mut parts = text.split('/');
    let running = parts.next()?.parse().ok()?;
    let _slots = parts.next()?;
    let waiting = parts.next()?.parse().ok()?;
    Some(LoadReport { running, waiting })
}

fn now(started: Instant) -> Tick {
    Tick::ZERO + started.elapsed()
}
