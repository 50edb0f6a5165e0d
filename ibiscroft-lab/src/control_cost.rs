//! Measures what control costs each gateway at several numbers of gateways and targets.

mod idle_targets;

use std::time::Duration;

use eyre::Result;
use serde::Serialize;

use crate::measured_fleet::{FleetSize, MeasuredFleet, Usage};
use idle_targets::IdleTargets;

/// Time after readiness before the measurement begins.
const SETTLE: Duration = Duration::from_secs(5);

/// What is measured.
#[derive(Clone, Debug)]
pub struct ControlCostOptions {
    /// Numbers of gateways.
    pub gateways: Vec<usize>,
    /// Numbers of targets.
    pub targets: Vec<usize>,
    /// Length of each measurement.
    pub span: Duration,
}

/// Cost of control at one size; each figure is the mean over all gateways.
#[derive(Clone, Debug, Serialize)]
pub struct ControlCost {
    /// Gateways.
    pub gateways: usize,
    /// Targets.
    pub targets: usize,
    /// Processor time of the control thread, in parts per thousand of a core.
    pub control_permille: f64,
    /// Resident memory, in kilobytes.
    pub resident_kb: f64,
    /// Payload sent to other gateways, in bytes a second.
    pub peer_sent_bytes: f64,
    /// Payload received from other gateways, in bytes a second.
    pub peer_received_bytes: f64,
    /// Calls to the store by the whole fleet, a second.
    pub store_calls: f64,
    /// Writes among them, leases included, a second.
    pub store_writes: f64,
}

/// Measures each pair of sizes and prints a line of JSON for it.
///
/// # Errors
///
/// Returns what could not be started or read.
pub async fn run(options: &ControlCostOptions) -> Result<Vec<ControlCost>> {
    let mut costs = Vec::new();
    for gateways in &options.gateways {
        for targets in &options.targets {
            let cost = measure(*gateways, *targets, options.span).await?;
            println!("{}", serde_json::to_string(&cost)?);
            costs.push(cost);
        }
    }
    Ok(costs)
}

async fn measure(gateways: usize, targets: usize, span: Duration) -> Result<ControlCost> {
    let targets_held = IdleTargets::start(targets).await?;
    let size = FleetSize { gateways, traffic_threads: 1 };
    let fleet = MeasuredFleet::start(size, targets_held.addresses()).await?;
    tokio::time::sleep(SETTLE).await;
    let before = fleet.usage().await?;
    let counters_before = fleet.store.counters();
    tokio::time::sleep(span).await;
    let after = fleet.usage().await?;
    let counters_after = fleet.store.counters();
    let seconds = span.as_secs_f64();
    let mean = |field: fn(&Usage) -> f64| {
        let rise: f64 = after.iter().zip(&before).map(|(a, b)| field(a) - field(b)).sum();
        rise / gateways as f64 / seconds
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
