//! One cell of the experiment: one way at one load.

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

use super::gateway::{Call, ExperimentGateway};
use crate::backend::{Backend, BackendOptions, NoiseOptions, RunningBackend};
use crate::load::{CallKind, Latencies, LoadOptions, Plan, WorkDistribution};

const GATEWAYS: usize = 18;
const TARGETS: usize = 10;
const SLOTS: u32 = 6;
const CONNECTIONS: u32 = 200;
const WORK_MS: f64 = 40.0;
/// The first part of a cell, whose calls are not counted.
const WARM_UP: Duration = Duration::from_millis(500);
const DEFAULT_SPAN: Duration = Duration::from_secs(5);
const NOISE: NoiseOptions = NoiseOptions {
    every: Duration::from_millis(2_000),
    duration: Duration::from_millis(60),
    factor: 5.0,
};

/// A way to select a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// A random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// Weighted by a polled metric with history, as mod_oc4j does.
    MetricWeighted,
    /// The less loaded of two by the loads that answers carry.
    ReportedTwoChoices,
    /// The less loaded of two by the gateway's own requests in flight.
    TwoChoices,
    /// The least loaded by all gateways' requests in flight, which no gateway knows.
    GlobalView,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::MetricWeighted,
        Self::ReportedTwoChoices,
        Self::TwoChoices,
        Self::GlobalView,
    ];
}

impl fmt::Display for Way {
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

impl FromStr for Way {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self> {
        for way in Self::ALL {
            if way.to_string() == text {
                return Ok(way);
            }
        }
        bail!("{text:?} is not a way to select; allowed are {:?}", Self::ALL.map(|w| w.to_string()))
    }
}

/// What one cell measures.
#[derive(Clone, Copy, Debug)]
pub struct CellOptions {
    /// Way to select.
    pub way: Way,
    /// Load, in percent of what the slots can work off.
    pub load: u32,
    /// Requests that wait for a slot at each backend server.
    pub queue: usize,
    /// Seed of arrivals, work, slowdowns and selections.
    pub seed: u64,
    /// How the work of a call is drawn.
    pub work: WorkDistribution,
    /// Length of the cell.
    pub span: Duration,
}

impl CellOptions {
    /// A cell of five seconds with calls that all need the same work.
    #[must_use]
    pub fn new(way: Way, load: u32, queue: usize, seed: u64) -> Self {
        Self { way, load, queue, seed, work: WorkDistribution::Fixed, span: DEFAULT_SPAN }
    }

    /// Returns the calls a second.
    fn rate(&self) -> f64 {
        let noisy = NOISE.duration.as_secs_f64() / (NOISE.every + NOISE.duration).as_secs_f64();
        let speed = 1.0 - noisy * (1.0 - 1.0 / NOISE.factor);
        let slots = f64::from(SLOTS) * TARGETS as f64;
        slots * speed / (WORK_MS / 1_000.0) * f64::from(self.load) / 100.0
    }

    fn plan(&self) -> Plan {
        let rate = self.rate();
        let mut options = LoadOptions::new(Vec::new(), rate, WARM_UP + self.span);
        options.seed = self.seed;
        let mut kind = CallKind::get("call", "/").work_ms(WORK_MS);
        kind.work = self.work;
        options.mix = vec![kind];
        Plan::new(&options)
    }
}

/// Result of one cell.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// Way to select.
    pub way: Way,
    /// Load, in percent.
    pub load: u32,
    /// Requests that wait for a slot at each backend server.
    pub queue: usize,
    /// Seed.
    pub seed: u64,
    /// Calls that were counted.
    pub calls: usize,
    /// Calls that no target took.
    pub refused: usize,
    /// Refusals by targets for each call.
    pub refusals_per_call: f64,
    /// Polls of targets for each call.
    pub polls_per_call: f64,
    /// How the work of a call is drawn.
    pub work: WorkDistribution,
    /// Latencies of answered calls, from their planned times.
    pub latency: Latencies,
    /// Latencies without the work that the calls asked for.
    pub wait: Latencies,
}

/// Runs one cell; each gateway gets a selector of its own.
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
        let is_shared = options.way == Way::GlobalView;
        let loads = if is_shared { &mut shared_loads } else { &mut own_loads };
        let pool = Arc::new(pool(&backends, loads));
        let selector = make_selector(&pool);
        let seed = options.seed * GATEWAYS as u64 + number as u64;
        gateways.push(Arc::new(ExperimentGateway::new(pool, selector, seed)?));
    }
    let calls = send_all(options, &gateways).await?;
    sum_up(options, &backends, &calls)
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
) -> Result<Vec<Call>>
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

fn sum_up(options: &CellOptions, backends: &[RunningBackend], calls: &[Call]) -> Result<Cell> {
    let answered: Vec<&Call> = calls.iter().filter(|call| call.answered).collect();
    let refusals: usize = calls.iter().map(|call| call.refusals).sum();
    let polls: u64 = backends.iter().map(|backend| backend.counters().load_polls).sum();
    let count = calls.len().max(1) as f64;
    Ok(Cell {
        way: options.way,
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
