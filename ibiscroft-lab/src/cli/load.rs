//! `ibiscroft-lab load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use gumdrop::Options;

use crate::load::{CallKind, Load, LoadOptions, LoadReport, WorkDistribution};
use crate::scenario::Scenario;

/// Arguments of `ibiscroft-lab load`.
#[derive(Debug, Options)]
pub(super) struct LoadArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "ADDRESS,...", help = "addresses that receive calls in turn")]
    entries: String,
    #[options(no_short, default = "100", meta = "N", help = "calls per second")]
    rate: f64,
    #[options(no_short, default = "10", meta = "S", help = "duration of the run, at most 600")]
    seconds: f64,
    #[options(no_short, meta = "N", help = "highest number of calls")]
    calls: Option<u64>,
    #[options(no_short, default = "1", meta = "N", help = "seed for times, kinds and work")]
    seed: u64,
    #[options(no_short, default = "10000", meta = "MS", help = "timeout of a call")]
    timeout_ms: u64,
    #[options(no_short, meta = "FILE", help = "scenario file with the kinds of calls")]
    scenario: Option<PathBuf>,
    #[options(no_short, default = "/", help = "path, without a scenario")]
    path: String,
    #[options(no_short, help = "host, without a scenario")]
    host: Option<String>,
    #[options(no_short, default = "GET", help = "method, without a scenario")]
    method: String,
    #[options(no_short, default = "64", meta = "N", help = "length of the response body")]
    bytes: u64,
    #[options(no_short, default = "0", meta = "MS", help = "mean work of a call")]
    work_ms: f64,
    #[options(no_short, help = "distribute the work exponentially")]
    exponential: bool,
    #[options(no_short, help = "give each call an idempotency key")]
    at_most_once: bool,
    #[options(no_short, default = "0", meta = "N", help = "length of the request body")]
    body_bytes: usize,
    #[options(no_short, help = "print JSON instead of a table")]
    json: bool,
}

/// Sends the calls and prints the report.
pub(super) async fn load(arguments: LoadArguments) -> Result<()> {
    let is_json = arguments.json;
    let records = Load::start(load_options(arguments)?)?.finish().await?;
    let report = LoadReport::new(&records)?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{report}");
    }
    Ok(())
}

fn load_options(arguments: LoadArguments) -> Result<LoadOptions> {
    let addresses = parse_addresses(&arguments.entries)?;
    let duration = Duration::try_from_secs_f64(arguments.seconds).wrap_err("--seconds")?;
    let mut options = LoadOptions::new(addresses, arguments.rate, duration);
    options.max_calls = arguments.calls.unwrap_or(options.max_calls);
    options.seed = arguments.seed;
    options.timeout = Duration::from_millis(arguments.timeout_ms);
    options.mix = match &arguments.scenario {
        Some(path) => Scenario::read(path)?.mix,
        None => vec![call_kind(arguments)],
    };
    Ok(options)
}

fn call_kind(arguments: LoadArguments) -> CallKind {
    let work =
        if arguments.exponential { WorkDistribution::Exponential } else { WorkDistribution::Fixed };
    CallKind {
        method: arguments.method,
        host: arguments.host,
        bytes: arguments.bytes,
        work_ms: arguments.work_ms,
        work,
        body_bytes: arguments.body_bytes,
        at_most_once: arguments.at_most_once,
        ..CallKind::get("call", arguments.path)
    }
}

/// Parses the comma-separated addresses of `--entries`.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>> {
    if text.is_empty() {
        bail!("--entries is missing");
    }
    let mut addresses = Vec::new();
    for part in text.split(',') {
        let address = part
            .parse()
            .wrap_err_with(|| format!("--entries: {part:?} is not an IP address with a port"))?;
        addresses.push(address);
    }
    Ok(addresses)
}
