//! Compares strategies for selecting a target, with HTTP calls to stand-in backend servers.
//!
//! The selectors of all gateways run in this process, each with its own view of the load. There is
//! no network hop to a gateway process, so that ten cores suffice for 18 gateways.

mod cell;
mod gateway;
mod global_view;
mod polled;
mod table;

use std::time::Duration;

use eyre::Result;
use ibiscroft_core::selection::{Random, ReportedTwoChoices, RoundRobin, TwoChoices};

pub use cell::{Cell, CellOptions, SelectionStrategy};
pub use table::ExperimentTable;

use global_view::GlobalView;
use polled::PolledMetric;

use crate::load::WorkDistribution;

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Selection strategies.
    pub strategies: Vec<SelectionStrategy>,
    /// Loads, in percent of the throughput of all slots.
    pub loads: Vec<u32>,
    /// Queue lengths: numbers of requests that may wait for a slot at a backend server. A server
    /// refuses requests that exceed its queue.
    pub queues: Vec<usize>,
    /// Distribution of the work of calls.
    pub work: WorkDistribution,
    /// Duration of the counted part of each cell.
    pub duration: Duration,
    /// Number of runs of each cell, with consecutive seeds.
    pub runs: u64,
    /// Seed of the first run.
    pub seed: u64,
}

/// Measures every cell and prints a line of JSON for each.
///
/// # Errors
///
/// Returns an error if a backend server or an HTTP client cannot be started, or if the latencies
/// cannot be summarized.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentTable> {
    let mut table = ExperimentTable::default();
    for queue in &options.queues {
        for strategy in &options.strategies {
            for load in &options.loads {
                for run in 0..options.runs {
                    let cell = CellOptions::new(*strategy, *load, *queue, options.seed + run);
                    let cell = measure(&CellOptions {
                        work: options.work,
                        duration: options.duration,
                        ..cell
                    })
                    .await?;
                    println!("{}", serde_json::to_string(&cell)?);
                    table.push(cell);
                }
            }
        }
    }
    Ok(table)
}

/// Measures one cell.
///
/// # Errors
///
/// Returns an error if a backend server or an HTTP client cannot be started, or if the latencies
/// cannot be summarized.
pub async fn measure(options: &CellOptions) -> Result<Cell> {
    match options.strategy {
        SelectionStrategy::Random => cell::measure(options, |_| Random).await,
        SelectionStrategy::RoundRobin => cell::measure(options, |_| RoundRobin::default()).await,
        SelectionStrategy::MetricWeighted => cell::measure(options, PolledMetric::start).await,
        SelectionStrategy::ReportedTwoChoices => {
            cell::measure(options, |_| ReportedTwoChoices).await
        }
        SelectionStrategy::TwoChoices => cell::measure(options, |_| TwoChoices::default()).await,
        SelectionStrategy::GlobalView => cell::measure(options, |_| GlobalView).await,
    }
}
