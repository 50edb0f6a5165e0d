//! Measures the cost of control (CPU, memory, network, store calls) for each gateway, at several
//! numbers of gateways and targets.

mod idle_targets;

use std::time::Duration;

use eyre::Result;
use serde::Serialize;

use crate::measured_fleet::{FleetSize, MeasuredFleet, Usage};
use idle_targets::IdleTargets;

/// Time between the readiness of the gateways and the start of the measurement.
const STABILIZATION_DELAY: Duration = Duration::from_secs(5);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct ControlCostOptions {
    /// Numbers of gateways.
    pub gateways: Vec<usize>,
    /// Numbers of targets.
    pub targets: Vec<usize>,
    /// Duration of each measurement.
    pub duration: Duration,
}

/// Cost of control for one pair of sizes. Figures are means over all gateways, except those of the
/// store.
#[derive(Clone, Debug, Serialize)]
pub struct ControlCost {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of targets.
    pub targets: usize,
    /// CPU time of the control thread, in thousandths of a core.
    pub control_permille: f64,
    /// Resident memory, in kilobytes.
    pub resident_kb: f64,
    /// Payload sent to other gateways, in bytes per second.
    pub peer_sent_bytes: f64,
    /// Payload received from other gateways, in bytes per second.
    pub peer_received_bytes: f64,
    /// Calls to the store by all gateways, per second.
    pub store_calls: f64,
    /// Writes to the store by all gateways, including lease calls, per second.
    pub store_writes: f64,
}

/// Measures each pair of sizes and prints a line of JSON for it.
///
/// # Errors
///
/// Returns an error if a process cannot be started or its resource usage cannot be read.
pub async fn run(options: &ControlCostOptions) -> Result<Vec<ControlCost>> {
    let mut costs = Vec::new();
    for gateways in &options.gateways {
        for targets in &options.targets {
            let cost = measure(*gateways, *targets, options.duration).await?;
            println!("{}", serde_json::to_string(&cost)?);
            costs.push(cost);
        }
    }
    Ok(costs)
}

async fn measure(gateways: usize, targets: usize, duration: Duration) -> Result<ControlCost> {
    let idle_targets = IdleTargets::start(targets).await?;
    let size = FleetSize { gateways, traffic_threads: 1 };
    let fleet = MeasuredFleet::start(size, idle_targets.addresses()).await?;
    tokio::time::sleep(STABILIZATION_DELAY).await;
    let before = fleet.usage().await?;
    let counters_before = fleet.store.counters();
    tokio::time::sleep(duration).await;
    let after = fleet.usage().await?;
    let counters_after = fleet.store.counters();
    let seconds = duration.as_secs_f64();
    let mean = |field: fn(&Usage) -> f64| {
        let increase: f64 = after.iter().zip(&before).map(|(a, b)| field(a) - field(b)).sum();
        increase / gateways as f64 / seconds
    };
    let resident: f64 = after.iter().map(|usage| usage.resident_kb).sum();
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    Ok(ControlCost {
        gateways,
        targets,
        control_permille: mean(|usage| usage.control_seconds) * 1_000.0,
        resident_kb: resident / gateways as f64,
        peer_sent_bytes: mean(|usage| usage.peer_sent_bytes),
        peer_received_bytes: mean(|usage| usage.peer_received_bytes),
        store_calls: rate(counters_after.total(), counters_before.total()),
        store_writes: rate(counters_after.writes(), counters_before.writes()),
    })
}
