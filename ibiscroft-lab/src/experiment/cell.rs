//! A cell of the experiment: one strategy at one load and queue length.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use ibiscroft_core::config::Target;
use ibiscroft_core::ids::{Connections, Slots, TargetName, ZoneName};
use ibiscroft_core::selection::{Candidate, Eligibility, LoadTable, Pool, Selector};
use serde::Serialize;
use tokio::task::JoinSet;

use super::gateway::{ExperimentGateway, FinishedCall};
use crate::backend::{Backend, BackendOptions, NoiseOptions, RunningBackend};
use crate::load::{CallKind, Latencies, LoadOptions, Plan, WorkDistribution};

const GATEWAYS: usize = 18;
const TARGETS: usize = 10;
/// Number of slots of each target.
const SLOTS: u32 = 6;
/// Number of connections that each target accepts.
const CONNECTIONS: u32 = 200;
/// Mean work of a call, in milliseconds.
const WORK_MS: f64 = 40.0;
/// First part of a cell, whose calls are not counted.
const WARM_UP: Duration = Duration::from_millis(500);
const DEFAULT_DURATION: Duration = Duration::from_secs(5);
/// Random slowdowns of each backend server.
const NOISE: NoiseOptions = NoiseOptions {
    every: Duration::from_millis(2_000),
    duration: Duration::from_millis(60),
    factor: 5.0,
};

/// Strategy for selecting a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SelectionStrategy {
    /// Selects a random target.
    Random,
    /// Selects the targets in turn.
    RoundRobin,
    /// Selects at random, weighted by a polled and smoothed metric as in mod_oc4j.
    MetricWeighted,
    /// Selects the less loaded of two targets, by the load that responses report.
    ReportedTwoChoices,
    /// Selects the less loaded of two targets, by the gateway's own requests in flight.
    TwoChoices,
    /// Selects the least loaded target, by the requests in flight from all gateways. A real gateway
    /// does not know these; the result is the bound to compare with.
    GlobalView,
}

impl SelectionStrategy {
    /// All strategies.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::MetricWeighted,
        Self::ReportedTwoChoices,
        Self::TwoChoices,
        Self::GlobalView,
    ];
}

impl fmt::Display for SelectionStrategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::MetricWeighted => "metric-weighted",
            Self::ReportedTwoChoices => "reported-two-choices",
            Self::TwoChoices => "two-choices",
            Self::GlobalView => "global-view",
        })
    }
}

impl FromStr for SelectionStrategy {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self> {
        for strategy in Self::ALL {
            if strategy.to_string() == text {
                return Ok(strategy);
            }
        }
        bail!(
            "unknown selection strategy {text:?}; allowed are {:?}",
            Self::ALL.map(|s| s.to_string())
        )
    }
}

/// Options of a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellOptions {
    /// Selection strategy.
    pub strategy: SelectionStrategy,
    /// Load, in percent of the throughput of all slots.
    pub load: u32,
    /// Number of requests that may wait for a slot at each backend server.
    pub queue: usize,
    /// Seed for call times, work, slowdowns and selections.
    pub seed: u64,
    /// Distribution of the work of calls.
    pub work: WorkDistribution,
    /// Duration of the counted part of the cell.
    pub duration: Duration,
}

impl CellOptions {
    /// Creates options for a cell of 5 s whose calls all take the same work.
    #[must_use]
    pub fn new(strategy: SelectionStrategy, load: u32, queue: usize, seed: u64) -> Self {
        Self {
            strategy,
            load,
            queue,
            seed,
            work: WorkDistribution::Fixed,
            duration: DEFAULT_DURATION,
        }
    }

    /// Returns the rate, in calls per second. Slowdowns reduce the throughput of the slots.
    fn rate(&self) -> f64 {
        let slow_share =
            NOISE.duration.as_secs_f64() / (NOISE.every + NOISE.duration).as_secs_f64();
        let speed = 1.0 - slow_share * (1.0 - 1.0 / NOISE.factor);
        let slots = f64::from(SLOTS) * TARGETS as f64;
        slots * speed / (WORK_MS / 1_000.0) * f64::from(self.load) / 100.0
    }

    fn plan(&self) -> Plan {
        let rate = self.rate();
        let mut options = LoadOptions::new(Vec::new(), rate, WARM_UP + self.duration);
        options.seed = self.seed;
        let mut kind = CallKind::get("call", "/").work_ms(WORK_MS);
        kind.work = self.work;
        options.mix = vec![kind];
        Plan::new(&options)
    }
}

/// Result of a cell.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// Selection strategy.
    #[serde(rename = "way")]
    pub strategy: SelectionStrategy,
    /// Load, in percent.
    pub load: u32,
    /// Number of requests that may wait for a slot at each backend server.
    pub queue: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Number of counted calls.
    pub calls: usize,
    /// Number of calls that no target answered.
    pub refused: usize,
    /// Mean number of refusals by targets per call.
    pub refusals_per_call: f64,
    /// Mean number of polls of targets per call.
    pub polls_per_call: f64,
    /// Distribution of the work of calls.
    pub work: WorkDistribution,
    /// Latencies of answered calls, measured from their planned times.
    pub latency: Latencies,
    /// Latencies of answered calls, minus the work of each call.
    pub wait: Latencies,
}

/// Runs a cell; each gateway has its own selector.
pub(super) async fn measure<S, F>(options: &CellOptions, make_selector: F) -> Result<Cell>
where
    S: Selector + Send + Sync + 'static,
    F: Fn(&Arc<Pool>) -> S,
{
    let backends = start_backends(options).await?;
    let mut shared_loads = LoadTable::default();
    let mut gateways = Vec::with_capacity(GATEWAYS);
    for number in 0..GATEWAYS {
        let mut own_loads = LoadTable::default();
        let is_shared = options.strategy == SelectionStrategy::GlobalView;
        let loads = if is_shared { &mut shared_loads } else { &mut own_loads };
        let pool = Arc::new(pool(&backends, loads));
        let selector = make_selector(&pool);
        let seed = options.seed * GATEWAYS as u64 + number as u64;
        gateways.push(Arc::new(ExperimentGateway::new(pool, selector, seed)?));
    }
    let calls = send_all(options, &gateways).await?;
    summarize(options, &backends, &calls)
}

async fn start_backends(options: &CellOptions) -> Result<Vec<RunningBackend>> {
    let mut backends = Vec::with_capacity(TARGETS);
    for number in 0..TARGETS {
        let options = BackendOptions {
            name: format!("target-{number}"),
            slots: SLOTS as usize,
            queue: options.queue,
            noise: NOISE,
            seed: options.seed * TARGETS as u64 + number as u64,
            ..BackendOptions::default()
        };
        backends.push(Backend::start(options).await?);
    }
    Ok(backends)
}

fn pool(backends: &[RunningBackend], loads: &mut LoadTable) -> Pool {
    let zone = ZoneName::new("zone");
    let mut candidates = Vec::with_capacity(backends.len());
    for (number, backend) in backends.iter().enumerate() {
        let target = Target {
            name: TargetName::new(format!("target-{number}")),
            address: backend.address(),
            zone: zone.clone(),
            slots: Slots(SLOTS),
            connections: Connections(CONNECTIONS),
        };
        let load = loads.entry(&target.name);
        candidates.push(Candidate { target, eligibility: Eligibility::Warm, load });
    }
    Pool::new(&zone, candidates)
}

async fn send_all<S>(
    options: &CellOptions,
    gateways: &[Arc<ExperimentGateway<S>>],
) -> Result<Vec<FinishedCall>>
where
    S: Selector + Send + Sync + 'static,
{
    let started = Instant::now();
    let mut planned = crate::load::pace(options.plan(), started);
    let mut calls = JoinSet::new();
    while let Some(call) = planned.recv().await {
        let index = usize::try_from(call.number)? % gateways.len();
        let gateway = gateways[index].clone();
        calls.spawn(async move { gateway.call(&call, started).await });
    }
    let mut ended = Vec::new();
    while let Some(call) = calls.join_next().await {
        let call = call?;
        if call.at >= WARM_UP {
            ended.push(call);
        }
    }
    Ok(ended)
}

fn summarize(
    options: &CellOptions,
    backends: &[RunningBackend],
    calls: &[FinishedCall],
) -> Result<Cell> {
    let answered: Vec<&FinishedCall> = calls.iter().filter(|call| call.answered).collect();
    let refusals: usize = calls.iter().map(|call| call.refusals).sum();
    let polls: u64 = backends.iter().map(|backend| backend.counters().load_polls).sum();
    let count = calls.len().max(1) as f64;
    Ok(Cell {
        strategy: options.strategy,
        load: options.load,
        queue: options.queue,
        seed: options.seed,
        calls: calls.len(),
        refused: calls.iter().filter(|call| !call.answered).count(),
        refusals_per_call: refusals as f64 / count,
        polls_per_call: polls as f64 / count,
        work: options.work,
        latency: Latencies::of(answered.iter().map(|call| call.latency))?,
        wait: Latencies::of(answered.iter().map(|call| call.wait()))?,
    })
}
