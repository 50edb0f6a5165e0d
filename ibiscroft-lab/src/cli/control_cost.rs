//! Arguments of `ibiscroft-lab control-cost`.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use gumdrop::Options;

use crate::control_cost::{self, ControlCostOptions};

/// Highest number of gateways, so that the machine stays usable.
const MAX_GATEWAYS: usize = 36;
/// Highest number of targets.
const MAX_TARGETS: usize = 1_000;
/// Longest measurement, in seconds.
const MAX_SECONDS: u64 = 120;

/// Arguments of `ibiscroft-lab control-cost`.
#[derive(Debug, Options)]
pub(super) struct ControlCostArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "numbers of gateways", meta = "N[,N]", default = "2,6,18")]
    gateways: String,
    #[options(no_short, help = "numbers of targets", meta = "N[,N]", default = "28,300,890")]
    targets: String,
    #[options(no_short, help = "duration of each measurement", meta = "S", default = "10")]
    seconds: u64,
}

/// Runs the measurement and prints a line of JSON for each pair of sizes.
pub(super) async fn run(arguments: ControlCostArguments) -> Result<()> {
    if arguments.seconds == 0 || arguments.seconds > MAX_SECONDS {
        bail!("--seconds must be from 1 to {MAX_SECONDS}");
    }
    let options = ControlCostOptions {
        gateways: parse_numbers(&arguments.gateways, MAX_GATEWAYS).wrap_err("--gateways")?,
        targets: parse_numbers(&arguments.targets, MAX_TARGETS).wrap_err("--targets")?,
        duration: Duration::from_secs(arguments.seconds),
    };
    control_cost::run(&options).await.map(drop)
}

/// Parses a comma-separated list of numbers from 1 to `max`.
fn parse_numbers(text: &str, max: usize) -> Result<Vec<usize>> {
    let mut numbers = Vec::new();
    for part in text.split(',') {
        let number: usize =
            part.trim().parse().wrap_err_with(|| format!("{part:?} is not a number"))?;
        if number == 0 || number > max {
            bail!("{number} is not from 1 to {max}");
        }
        numbers.push(number);
    }
    Ok(numbers)
}
