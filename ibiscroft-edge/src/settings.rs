//! Settings of the daemon, read from a JSON file and validated at startup.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use ibiscroft_core::fleet::GatewayCapacity;
use ibiscroft_core::ids::{InstanceName, ZoneName};
use serde::{Deserialize, Serialize};

/// The fleet's retry budget for each service.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct RetryBudgetSettings {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries that the whole fleet may make in each window in addition, however few requests
    /// there are.
    pub floor: f64,
    /// Length of the sliding window, in seconds; 0.1 to 600.
    pub window_s: f64,
}

/// The allowed error of the quotas of organisations.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSettings {
    /// Length of the windows in which requests are bounded, in seconds; 1 to 600.
    pub window_s: f64,
    /// Requests allowed over the quota, as a fraction of it.
    pub overage: f64,
    /// Requests allowed over the quota in each window in addition.
    pub slack: f64,
}

impl Default for QuotaSettings {
    /// Returns the values of section 2 of docs/design/limits-and-priorities.md.
    fn default() -> Self {
        Self { window_s: 5.0, overage: 0.1, slack: 20.0 }
    }
}

/// Settings of the daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Address on which callers connect.
    pub caller_listen: SocketAddr,
    /// Address on which readiness, metrics and the dump of the state are served.
    pub status_listen: SocketAddr,
    /// Address on which other gateways connect.
    pub mesh_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// The fleet's retry budget for each service.
    pub retry_budget: RetryBudgetSettings,
    /// The allowed error of quotas, the default one if the deployment states none.
    #[serde(default)]
    pub quota: Option<QuotaSettings>,
    /// Maximum rate of probes of one target by the whole fleet, in probes per second.
    pub probes_per_s: f64,
    /// Time within which a target must respond to a probe, connecting included, in seconds; 0.01 to
    /// 10. It must allow for the round trips to the farthest zone.
    #[serde(default = "default_probe_timeout_s")]
    pub probe_timeout_s: f64,
    /// Factor applied to the request rate that a service's policy allows for a cold target.
    pub cold_factor: f64,
    /// CPU capacity of the instance, in cores.
    pub cores: f64,
    /// Bandwidth of the instance, in Mbit/s.
    pub bandwidth_mbps: f64,
    /// Maximum time between a stop signal and the end of the process, in seconds; 0.5 to 3600.
    pub stop_grace_s: f64,
    /// Optional behaviour that the deployment asks for; names that are not known are ignored.
    ///
    /// `pool`: new connections are expensive. Targets to which a connection is open are preferred,
    /// requests wait for capacity by their priority, and one that can no longer meet its aim waits
    /// as well, as its caller would return on a new connection.
    #[serde(default)]
    pub features: Vec<String>,
    /// Memory of the instance, in megabytes (10^6 bytes); 32 to 1,000,000. Half of it is for the
    /// bodies of requests and responses; without a value they are not limited.
    pub memory_mb: Option<f64>,
    /// Number of descriptors that the process may open; 256 to 10,000,000. Without a value the
    /// connections of callers are not limited.
    pub max_fds: Option<u32>,
}

/// Returns the default timeout of a probe, in seconds; longer than the delay caused by a slow link of
/// the gateway itself.
const fn default_probe_timeout_s() -> f64 {
    0.15
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error with the file's path if it cannot be read or its content is invalid.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let document = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("read settings file {}", path.display()))?;
        Self::parse(&document).wrap_err_with(|| format!("parse settings file {}", path.display()))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field that is missing or out of range, with its value.
    pub fn parse(document: &str) -> eyre::Result<Self> {
        let settings: Self = serde_json::from_str(document)?;
        let budget = settings.retry_budget;
        ensure!(!settings.instance.as_str().is_empty(), "instance must not be empty");
        ensure!(
            !settings.availability_zone.as_str().is_empty(),
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
        if let Some(quota) = settings.quota {
            ensure!(
                (1.0..=600.0).contains(&quota.window_s),
                "quota.window_s is {}, must lie in 1 to 600",
                quota.window_s
            );
            ensure!(
                quota.overage >= 0.0,
                "quota.overage is {}, must not be negative",
                quota.overage
            );
            ensure!(quota.slack >= 0.0, "quota.slack is {}, must not be negative", quota.slack);
        }
        ensure!(
            settings.probes_per_s > 0.0,
            "probes_per_s is {}, must be above 0",
            settings.probes_per_s
        );
        ensure!(
            (0.01..=10.0).contains(&settings.probe_timeout_s),
            "probe_timeout_s is {}, must lie in 0.01 to 10",
            settings.probe_timeout_s
        );
        ensure!(settings.cores > 0.0, "cores is {}, must be above 0", settings.cores);
        ensure!(
            settings.bandwidth_mbps > 0.0,
            "bandwidth_mbps is {}, must be above 0",
            settings.bandwidth_mbps
        );
        ensure!(
            settings.cold_factor > 0.0,
            "cold_factor is {}, must be above 0",
            settings.cold_factor
        );
        ensure!(
            (0.5..=3_600.0).contains(&settings.stop_grace_s),
            "stop_grace_s is {}, must lie in 0.5 to 3600",
            settings.stop_grace_s
        );
        ensure!(
            settings.memory_mb.is_none_or(|mb| (32.0..=1e6).contains(&mb)),
            "memory_mb is {}, must lie in 32 to 1000000",
            settings.memory_mb.unwrap_or_default()
        );
        ensure!(
            settings.max_fds.is_none_or(|count| (256..=10_000_000).contains(&count)),
            "max_fds is {}, must lie in 256 to 10000000",
            settings.max_fds.unwrap_or_default()
        );
        Ok(settings)
    }

    /// Returns whether the deployment asks for an optional behaviour.
    pub(crate) fn has_feature(&self, name: &str) -> bool {
        self.features.iter().any(|feature| feature == name)
    }

    /// Returns the timeout of a probe.
    pub(crate) fn probe_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.probe_timeout_s)
    }

    /// Returns the maximum time between a stop signal and the end of the process.
    pub(crate) fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }

    /// Returns the capacity by which this gateway is ranked as a source for others: its cores times
    /// its bandwidth in kbit/s.
    pub(crate) fn capacity(&self) -> GatewayCapacity {
        GatewayCapacity((self.cores * self.bandwidth_mbps * 1e3) as u64)
    }
}
