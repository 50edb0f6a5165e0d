//! Arguments of `ibiscroft-lab control-cost`.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use gumdrop::Options;

use crate::control_cost::{self, ControlCostOptions};

/// Gateways at the most, so that the machine stays usable.
const MAX_GATEWAYS: usize = 36;
/// Targets at the most.
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
    #[options(no_short, help = "length of each measurement", meta = "S", default = "10")]
    seconds: u64,
}

/// Measures and prints a line of JSON for each pair of sizes.
pub(super) async fn run(arguments: ControlCostArguments) -> Result<()> {
    if arguments.seconds == 0 || arguments.seconds > MAX_SECONDS {
        bail!("--seconds must be from 1 to {MAX_SECONDS}");
    }
    let options = ControlCostOptions {
        gateways: numbers(&arguments.gateways, MAX_GATEWAYS).wrap_err("--gateways")?,
        targets: numbers(&arguments.targets, MAX_TARGETS).wrap_err("--targets")?,
        span: Duration::from_secs(arguments.seconds),
    };
    control_cost::run(&options).await.map(drop)
}

fn numbers(text: &str, most: usize) -> Result<Vec<usize>> {
    let mut found = Vec::new();
    for part in text.split(',') {
        let number: usize = part.trim().parse().wrap_err_with(|| format!("{part:?}"))?;
        if number == 0 || number > most {
            bail!("{number}; allowed are 1 to {most}");
        }
        found.push(number);
    }
    Ok(found)
}
