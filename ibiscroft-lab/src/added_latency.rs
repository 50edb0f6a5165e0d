//! Compares the latency of calls through a gateway with that of direct calls to the same backend
//! server.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use serde::Serialize;

use crate::load::{CallKind, CallRecords, Latencies, Load, LoadOptions, Outcome};
use crate::measured_fleet::{FleetSize, MeasuredFleet};
use crate::process::{Process, StandInAddresses, program};

/// Path of the measured calls; its prefix `/0` selects the only service of the fleet.
const PATH: &str = "/0/added";
/// Number of calls that the backend server runs concurrently.
const BACKEND_SLOTS: &str = "200";
/// Duration of the unmeasured load before the first round, which opens connections.
const WARM_UP: Duration = Duration::from_secs(1);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct AddedLatencyOptions {
    /// Rates, in calls per second.
    pub rates: Vec<f64>,
    /// Duration of each of the two parts of a round: direct calls, then calls through the gateway.
    pub duration: Duration,
    /// Number of rounds at each rate.
    pub rounds: usize,
    /// Number of traffic threads of the gateway.
    pub traffic_threads: usize,
}

/// Result of a round: the same calls sent directly and through the gateway.
#[derive(Clone, Debug, Serialize)]
pub struct AddedLatency {
    /// Rate, in calls per second.
    pub rate: f64,
    /// Latencies of direct calls.
    pub direct: Latencies,
    /// Latencies of calls through the gateway.
    pub gateway: Latencies,
    /// CPU time of the gateway, in microseconds per call.
    pub gateway_cpu_us: f64,
    /// Numbers of answered calls and of all calls through the gateway.
    pub answered: (u64, usize),
}

/// Measures each rate and prints a line of JSON for each round.
///
/// # Errors
///
/// Returns an error if a process cannot be started, its resource usage cannot be read, or no call
/// is sent.
///
/// # Panics
///
/// Panics if `options.rates` is empty.
pub async fn run(options: &AddedLatencyOptions) -> Result<Vec<AddedLatency>> {
    let (_backend, addresses) = start_backend().await?;
    let size = FleetSize { gateways: 1, traffic_threads: options.traffic_threads };
    let fleet = MeasuredFleet::start(size, &[addresses.listen]).await?;
    fleet.warm_up(PATH).await?;
    send_calls(&fleet.caller_addresses(), options.rates[0], WARM_UP).await?;
    let mut results = Vec::new();
    for rate in &options.rates {
        for _ in 0..options.rounds {
            let result = measure_round(&fleet, addresses.listen, *rate, options.duration).await?;
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

async fn measure_round(
    fleet: &MeasuredFleet,
    backend: SocketAddr,
    rate: f64,
    duration: Duration,
) -> Result<AddedLatency> {
    let direct_records = send_calls(&[backend], rate, duration).await?;
    let before = fleet.usage().await?;
    let gateway_records = send_calls(&fleet.caller_addresses(), rate, duration).await?;
    let after = fleet.usage().await?;
    ensure!(!gateway_records.calls().is_empty(), "no call was sent through the gateway");
    let cpu_seconds: f64 =
        after.iter().zip(&before).map(|(a, b)| a.process_seconds - b.process_seconds).sum();
    Ok(AddedLatency {
        rate,
        direct: latencies(&direct_records)?,
        gateway: latencies(&gateway_records)?,
        gateway_cpu_us: cpu_seconds * 1e6 / gateway_records.calls().len() as f64,
        answered: (gateway_records.count(Outcome::Answered), gateway_records.calls().len()),
    })
}

/// Sends calls to the addresses at a rate for a duration.
async fn send_calls(
    addresses: &[SocketAddr],
    rate: f64,
    duration: Duration,
) -> Result<CallRecords> {
    let mut options = LoadOptions::new(addresses.to_vec(), rate, duration);
    options.mix = vec![CallKind::get("added", PATH)];
    Load::start(options)?.finish().await
}

/// Returns the latencies of the answered calls.
fn latencies(records: &CallRecords) -> Result<Latencies> {
    let answered = records.calls().iter().filter(|call| call.outcome == Outcome::Answered);
    Latencies::of(answered.map(|call| call.latency))
}
