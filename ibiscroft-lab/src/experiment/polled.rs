//! Selection weighted by a polled and smoothed metric, as in mod_oc4j.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::selection::{
    AttemptedTargets, MetricWeighted, Pool, Selection, Selector, smoothed_metric,
};
use rand::Rng;
use reqwest::Client;
use tokio::task::JoinHandle;

use super::gateway::parse_report;

/// Interval between polls of a target.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Initial metric of a target, before its first poll.
const IDLE_METRIC: f64 = 100.0;

/// Selector that polls the load of each target and weights targets by it.
#[derive(Debug)]
pub(super) struct PolledMetric {
    weights: Arc<RwLock<MetricWeighted>>,
    task: JoinHandle<()>,
}

impl PolledMetric {
    /// Starts polling; must be called within a Tokio runtime.
    pub(super) fn start(pool: &Arc<Pool>) -> Self {
        let metrics = vec![IDLE_METRIC; pool.candidates().len()];
        let weights = Arc::new(RwLock::new(MetricWeighted::new(&metrics)));
        let task = tokio::spawn(poll_targets(pool.clone(), metrics, weights.clone()));
        Self { weights, task }
    }
}

impl Drop for PolledMetric {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Selector for PolledMetric {
    fn select(
        &self,
        pool: &Pool,
        attempted: &AttemptedTargets,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Selection {
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        weights.select(pool, attempted, now, rng)
    }
}

/// Polls all targets periodically and replaces the weights after each round.
async fn poll_targets(
    pool: Arc<Pool>,
    mut metrics: Vec<f64>,
    weights: Arc<RwLock<MetricWeighted>>,
) {
    let client = Client::builder().no_proxy().build().unwrap_or_default();
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    loop {
        interval.tick().await;
        for (candidate, metric) in pool.candidates().iter().zip(&mut metrics) {
            let url = format!("http://{}/load", candidate.target.address);
            let Ok(response) = client.get(url).send().await else {
                continue;
            };
            let text = response.text().await.unwrap_or_default();
            let Some(report) = parse_report(&text) else {
                continue;
            };
            *metric = smoothed_metric(report.running + report.waiting, *metric);
        }
        let next = MetricWeighted::new(&metrics);
        *weights.write().unwrap_or_else(PoisonError::into_inner) = next;
    }
}
