//! `ibiscroft-lab experiment`.

use std::str::FromStr;
use std::time::Duration;

use eyre::{Result, ensure, eyre};
use gumdrop::Options;

use crate::experiment::{self, ExperimentOptions, SelectionStrategy};
use crate::load::WorkDistribution;

/// Longest duration of a cell, in seconds.
const MAX_SECONDS: f64 = 60.0;

/// Arguments of `ibiscroft-lab experiment`.
#[derive(Debug, Options)]
pub(super) struct ExperimentArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "WAY,...", help = "selection strategies; default all")]
    ways: Option<String>,
    #[options(no_short, default = "50,75,90,95", meta = "PERCENT,...", help = "loads")]
    loads: String,
    #[options(no_short, default = "3", meta = "N,...", help = "queue lengths of a server")]
    queues: String,
    #[options(no_short, default = "5", meta = "S", help = "duration of each cell, at most 60")]
    seconds: f64,
    #[options(no_short, help = "distribute the work of calls exponentially")]
    exponential: bool,
    #[options(no_short, default = "3", meta = "N", help = "runs of each cell")]
    runs: u64,
    #[options(no_short, default = "1", meta = "N", help = "first seed")]
    seed: u64,
}

/// Runs the experiment and prints its table.
pub(super) async fn run(arguments: ExperimentArguments) -> Result<()> {
    let is_in_range = arguments.seconds > 0.0 && arguments.seconds <= MAX_SECONDS;
    ensure!(
        is_in_range,
        "--seconds is {}, must be above 0 and at most {MAX_SECONDS}",
        arguments.seconds
    );
    let strategies = match &arguments.ways {
        Some(text) => parse_list("--ways", text)?,
        None => SelectionStrategy::ALL.to_vec(),
    };
    let options = ExperimentOptions {
        strategies,
        loads: parse_list("--loads", &arguments.loads)?,
        queues: parse_list("--queues", &arguments.queues)?,
        work: if arguments.exponential {
            WorkDistribution::Exponential
        } else {
            WorkDistribution::Fixed
        },
        duration: Duration::try_from_secs_f64(arguments.seconds)?,
        runs: arguments.runs,
        seed: arguments.seed,
    };
    let table = experiment::run(&options).await?;
    println!("\n{table}");
    Ok(())
}

/// Parses a comma-separated list of values.
fn parse_list<T>(flag: &str, text: &str) -> Result<Vec<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let mut values = Vec::new();
    for part in text.split(',') {
        values.push(part.parse().map_err(|error| eyre!("{flag}: {part:?}: {error}"))?);
    }
    Ok(values)
}
