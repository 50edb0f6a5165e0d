//! Compares calls through one gateway with calls sent directly to the same backend server.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use serde::Serialize;

use crate::load::{CallKind, Latencies, Load, LoadOptions, Outcome, Records};
use crate::measured_fleet::{FleetSize, MeasuredFleet};
use crate::process::{Process, StandInAddresses, program};

/// Path that the measured service serves.
const PATH: &str = "/0/added";
/// Calls that may run at once at the backend server.
const BACKEND_SLOTS: &str = "200";
/// Length of the first, unmeasured part that opens connections.
const WARM_UP: Duration = Duration::from_secs(1);

/// What is measured.
#[derive(Clone, Debug)]
pub struct AddedLatencyOptions {
    /// Rates, in calls a second.
    pub rates: Vec<f64>,
    /// Length of one part of a round; a round has a direct and a gateway part.
    pub span: Duration,
    /// Rounds at each rate.
    pub rounds: usize,
    /// Traffic threads of the gateway.
    pub traffic_threads: usize,
}

/// One round: the same calls directly and through the gateway.
#[derive(Clone, Debug, Serialize)]
pub struct AddedLatency {
    /// Calls a second.
    pub rate: f64,
    /// Latencies of direct calls.
    pub direct: Latencies,
    /// Latencies of calls through the gateway.
    pub gateway: Latencies,
    /// Processor time of the gateway, in microseconds a call.
    pub gateway_cpu_us: f64,
    /// Calls through the gateway that were answered, of all that were sent.
    pub answered: (u64, usize),
}

/// Measures each rate and prints a line of JSON for each round.
///
/// # Errors
///
/// Returns what could not be started or read.
pub async fn run(options: &AddedLatencyOptions) -> Result<Vec<AddedLatency>> {
    let (_backend, addresses) = start_backend().await?;
    let size = FleetSize { gateways: 1, traffic_threads: options.traffic_threads };
    let fleet = MeasuredFleet::start(size, &[addresses.listen]).await?;
    fleet.warm_up(PATH).await?;
    call(&fleet.entries(), options.rates[0], WARM_UP).await?;
    let mut results = Vec::new();
    for rate in &options.rates {
        for _ in 0..options.rounds {
            let result = round(&fleet, addresses.listen, *rate, options.span).await?;
            println!("{}", serde_json::to_string(&result)?);
            results.push(result);
        }
    }
    Ok(results)
}

async fn start_backend() -> Result<(Process, StandInAddresses)> {
    let arguments =
        ["backend", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--slots", BACKEND_SLOTS];
    let arguments = arguments.map(ToString::to_string);
    Process::start("backend", &program("ibiscroft-lab")?, &arguments).await
}

async fn round(
    fleet: &MeasuredFleet,
    backend: SocketAddr,
    rate: f64,
    span: Duration,
) -> Result<AddedLatency> {
    let direct = call(&[backend], rate, span).await?;
    let before = fleet.usage().await?;
    let through = call(&fleet.entries(), rate, span).await?;
    let after = fleet.usage().await?;
    ensure!(!through.calls().is_empty(), "no call was sent");
    let cpu_seconds: f64 =
        after.iter().zip(&before).map(|(a, b)| a.process_seconds - b.process_seconds).sum();
    Ok(AddedLatency {
        rate,
        direct: latencies(&direct)?,
        gateway: latencies(&through)?,
        gateway_cpu_us: cpu_seconds * 1e6 / through.calls().len() as f64,
        answered: (through.count(Outcome::Answered), through.calls().len()),
    })
}

async fn call(entries: &[SocketAddr], rate: f64, span: Duration) -> Result<Records> {
    let mut options = LoadOptions::new(entries.to_vec(), rate, span);
    options.mix = vec![CallKind::get("added", PATH)];
    Load::start(options)?.finish().await
}

fn latencies(records: &Records) -> Result<Latencies> {
    let answered = records.calls().iter().filter(|call| call.outcome == Outcome::Answered);
    Latencies::of(answered.map(|call| call.latency))
}
