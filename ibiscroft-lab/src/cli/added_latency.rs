//! Arguments of `ibiscroft-lab added-latency`.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use gumdrop::Options;

use crate::added_latency::{self, AddedLatencyOptions};

/// Highest number of rounds at each rate.
const MAX_ROUNDS: usize = 20;
/// Longest duration of a part of a round, in seconds.
const MAX_SECONDS: u64 = 60;
/// Highest number of traffic threads.
const MAX_THREADS: usize = 8;

/// Arguments of `ibiscroft-lab added-latency`.
#[derive(Debug, Options)]
pub(super) struct AddedLatencyArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "calls per second", meta = "N[,N]", default = "500,2000")]
    rates: String,
    #[options(no_short, help = "duration of each part of a round", meta = "S", default = "5")]
    seconds: u64,
    #[options(no_short, help = "rounds at each rate", meta = "N", default = "3")]
    rounds: usize,
    #[options(no_short, help = "traffic threads of the gateway", meta = "N", default = "2")]
    threads: usize,
}

/// Runs the measurement and prints a line of JSON for each round.
pub(super) async fn run(arguments: AddedLatencyArguments) -> Result<()> {
    let mut rates = Vec::new();
    for part in arguments.rates.split(',') {
        let rate: f64 =
            part.trim().parse().wrap_err_with(|| format!("--rates: {part:?} is not a number"))?;
        rates.push(rate);
    }
    if arguments.seconds == 0 || arguments.seconds > MAX_SECONDS {
        bail!("--seconds must be from 1 to {MAX_SECONDS}");
    }
    if arguments.rounds == 0 || arguments.rounds > MAX_ROUNDS {
        bail!("--rounds must be from 1 to {MAX_ROUNDS}");
    }
    if arguments.threads == 0 || arguments.threads > MAX_THREADS {
        bail!("--threads must be from 1 to {MAX_THREADS}");
    }
    let options = AddedLatencyOptions {
        rates,
        duration: Duration::from_secs(arguments.seconds),
        rounds: arguments.rounds,
        traffic_threads: arguments.threads,
    };
    added_latency::run(&options).await.map(drop)
}
