//! Compares ways to select a target, on real HTTP calls to stand-in backend servers.
//!
//! The gateways' decisions run in this process, each with its own view of the load; there is no
//! hop to a gateway process, so that ten cores carry 18 of them.

mod cell;
mod gateway;
mod global_view;
mod polled;
mod table;

use std::time::Duration;

use eyre::Result;
use ibiscroft_core::selection::{Random, ReportedTwoChoices, RoundRobin, TwoChoices};

pub use cell::{Cell, CellOptions, Way};
pub use table::ExperimentTable;

use global_view::GlobalView;
use polled::PolledMetric;

use crate::load::WorkDistribution;

/// What is compared.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Ways to select.
    pub ways: Vec<Way>,
    /// Loads, in percent of what the slots can work off.
    pub loads: Vec<u32>,
    /// Requests that wait for a slot at each backend server; above it, it refuses.
    pub queues: Vec<usize>,
    /// How the work of a call is drawn.
    pub work: WorkDistribution,
    /// Length of each cell.
    pub span: Duration,
    /// Runs of each cell; each takes the next seed.
    pub runs: u64,
    /// First seed.
    pub seed: u64,
}

/// Measures every cell and prints a line of JSON for each.
///
/// # Errors
///
/// Returns what could not be started.
pub async fn run(options: &ExperimentOptions) -> Result<ExperimentTable> {
    let mut table = ExperimentTable::default();
    for queue in &options.queues {
        for way in &options.ways {
            for load in &options.loads {
                for run in 0..options.runs {
                    let cell = CellOptions::new(*way, *load, *queue, options.seed + run);
                    let cell =
                        measure(&CellOptions { work: options.work, span: options.span, ..cell })
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
/// Returns what could not be started.
pub async fn measure(options: &CellOptions) -> Result<Cell> {
    match options.way {
        Way::Random => cell::measure(options, |_| Random).await,
        Way::RoundRobin => cell::measure(options, |_| RoundRobin::default()).await,
        Way::MetricWeighted => cell::measure(options, PolledMetric::start).await,
        Way::ReportedTwoChoices => cell::measure(options, |_| ReportedTwoChoices).await,
        Way::TwoChoices => cell::measure(options, |_| TwoChoices::default()).await,
        Way::GlobalView => cell::measure(options, |_| GlobalView).await,
    }
}
