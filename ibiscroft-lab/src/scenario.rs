//! Scenario files: the services, backend servers and calls of one organisation.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};

use crate::load::CallKind;

/// Services and calls of one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// One-way network delay from the gateways by availability zone, in microseconds.
    pub zone_delay_us: BTreeMap<String, u64>,
    /// Services.
    pub services: Vec<ScenarioService>,
    /// Kinds of calls.
    pub mix: Vec<CallKind>,
}

/// A service of a scenario; its backend servers are spread evenly over the zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioService {
    /// Name of the service.
    pub name: String,
    /// Prefixes of the paths that the service serves.
    pub path_prefixes: Vec<String>,
    /// Methods whose requests must run at most once.
    #[serde(default)]
    pub never_run_twice: Vec<String>,
    /// Number of backend servers.
    pub targets: u32,
    /// Number of requests that each backend server runs concurrently.
    pub slots: u32,
    /// Number of requests that may wait for a slot at each backend server.
    pub queue: u32,
    /// Number of connections that each backend server accepts.
    pub connections: u32,
    /// Number of concurrent requests that each backend server can take while it is cold.
    pub cold_bears: u32,
    /// Time from the first request until a backend server is warm, in milliseconds.
    pub cold_ms: u32,
    /// Longest time that callers wait for a response, in milliseconds.
    pub callers_wait_ms: u32,
    /// Highest rate of load polls to each backend server from all gateways together, per second.
    pub measuring_per_second: u32,
    /// Random slowdowns.
    pub noise: ScenarioNoise,
    /// Maximum age of the load that `/load` returns, in milliseconds.
    pub load_lag_ms: u64,
}

/// Random slowdowns of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioNoise {
    /// Mean time between slowdowns, in milliseconds; 0 means no slowdowns.
    pub every_ms: u64,
    /// Length of a slowdown, in milliseconds.
    pub for_ms: u64,
    /// Factor on the duration of work during a slowdown.
    pub factor: f64,
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, or a check fails.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read scenario {}", path.display()))?;
        let scenario: Self = serde_json::from_str(&text)
            .wrap_err_with(|| format!("cannot parse scenario {}", path.display()))?;
        scenario.check().wrap_err_with(|| format!("scenario {}", path.display()))?;
        Ok(scenario)
    }

    /// Returns the rate, in calls per second, at which all slots of the busiest service are in use;
    /// infinite if no call takes work.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let total: f64 = self.mix.iter().map(|kind| kind.weight).sum();
        let mut lowest = f64::INFINITY;
        for service in &self.services {
            let mut busy_ms = 0.0;
            for kind in self.mix.iter().filter(|kind| service.serves(&kind.path)) {
                busy_ms += kind.weight / total * kind.work_ms;
            }
            if busy_ms == 0.0 {
                continue;
            }
            let slots = f64::from(service.targets * service.slots);
            lowest = lowest.min(slots * 1_000.0 / busy_ms);
        }
        lowest
    }

    fn check(&self) -> Result<()> {
        ensure!(!self.zone_delay_us.is_empty(), "zone_delay_us has no availability zone");
        ensure!(!self.mix.is_empty(), "mix has no kind of call");
        for kind in &self.mix {
            let served = self.services.iter().any(|service| service.serves(&kind.path));
            ensure!(served, "mix: no service serves path {}", kind.path);
        }
        Ok(())
    }
}

impl ScenarioService {
    /// Returns whether the service serves a path.
    #[must_use]
    pub fn serves(&self, path: &str) -> bool {
        self.path_prefixes.iter().any(|prefix| path.starts_with(prefix))
    }
}
