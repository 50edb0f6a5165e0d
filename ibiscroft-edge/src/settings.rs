//! Settings of one daemon, read from JSON and checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use eyre::{WrapErr, ensure};
use ibiscroft_core::fleet::GatewayCapacity;
use ibiscroft_core::ids::{InstanceName, ZoneName};
use serde::Deserialize;

/// The fleet's budget of further sends.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct RetryBudgetSettings {
    /// Further sends allowed for each request.
    pub ratio: f64,
    /// Further sends that the fleet may make in each window without any requests.
    pub floor: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where readiness, metrics and the dump of the state are served.
    pub status_listen: SocketAddr,
    /// Where other gateways connect.
    pub mesh_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// The fleet's budget of further sends.
    pub retry_budget: RetryBudgetSettings,
    /// Health checks that a target may get in a second from the whole fleet.
    pub probes_per_s: f64,
    /// Requests that a cold target may get in a second, as a factor of what it states.
    pub cold_factor: f64,
    /// Processor share of the instance, in cores.
    pub cores: f64,
    /// Bandwidth of the instance, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Seconds between a stop signal and the end of the process.
    pub stop_grace_s: f64,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file and what is wrong with it.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let document = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("settings file {}", path.display()))?;
        Self::parse(&document).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the first field that is missing or out of range, with its value.
    pub fn parse(document: &str) -> eyre::Result<Self> {
        let found: Self = serde_json::from_str(document)?;
        let budget = found.retry_budget;
        ensure!(!found.instance.as_str().is_empty(), "instance must not be empty");
        ensure!(
            !found.availability_zone.as_str().is_empty(),
            "availability_zone must not be empty"
        );
        ensure!(
            budget.ratio >= 0.0,
            "retry_budget.ratio is {}, must not be negative",
            budget.ratio
        );
        ensure!(
            budget.floor >= 0.0,
            "retry_budget.floor is {}, must not be negative",
            budget.floor
        );
        ensure!(
            (0.1..=600.0).contains(&budget.window_s),
            "retry_budget.window_s is {}, must lie in 0.1 to 600",
            budget.window_s
        );
        ensure!(
            found.probes_per_s > 0.0,
            "probes_per_s is {}, must be above 0",
            found.probes_per_s
        );
        ensure!(found.cores > 0.0, "cores is {}, must be above 0", found.cores);
        ensure!(
            found.bandwidth_mbps > 0.0,
            "bandwidth_mbps is {}, must be above 0",
            found.bandwidth_mbps
        );
        ensure!(found.cold_factor > 0.0, "cold_factor is {}, must be above 0", found.cold_factor);
        ensure!(
            (0.5..=3_600.0).contains(&found.stop_grace_s),
            "stop_grace_s is {}, must lie in 0.5 to 3600",
            found.stop_grace_s
        );
        Ok(found)
    }

    /// Returns what the instance can bear beside its callers.
    pub(crate) fn strength(&self) -> GatewayCapacity {
        GatewayCapacity((self.cores * self.bandwidth_mbps * 1e3) as u64)
    }
}
