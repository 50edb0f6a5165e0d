//! Scenario files: services, backend servers and calls of one user.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Result, WrapErr, ensure};
use serde::{Deserialize, Serialize};

use crate::load::CallKind;

/// One user's services and calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Availability zones with their one-way delay from the gateways, in microseconds.
    pub zone_delay_us: BTreeMap<String, u64>,
    /// Services.
    pub services: Vec<ScenarioService>,
    /// Kinds of calls.
    pub mix: Vec<CallKind>,
}

/// One service of a scenario; its backend servers are spread evenly over the zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioService {
    /// Name of the service.
    pub name: String,
    /// Prefixes of the paths it serves.
    pub path_prefixes: Vec<String>,
    /// Methods whose requests must run at most once.
    #[serde(default)]
    pub never_run_twice: Vec<String>,
    /// Number of backend servers.
    pub targets: u32,
    /// Requests each runs at once.
    pub slots: u32,
    /// Requests that wait for a slot at each.
    pub queue: u32,
    /// Connections each accepts.
    pub connections: u32,
    /// Requests at once that each bears while cold.
    pub cold_bears: u32,
    /// Time with traffic until warm, in milliseconds.
    pub cold_ms: u32,
    /// How long callers wait, in milliseconds.
    pub callers_wait_ms: u32,
    /// Measuring requests each may receive, per second.
    pub measuring_per_second: u32,
    /// Random slowdowns.
    pub noise: ScenarioNoise,
    /// Age that reported load may have, in milliseconds.
    pub load_lag_ms: u64,
}

/// Random slowdowns of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioNoise {
    /// Mean time between slowdowns, in milliseconds; 0 for none.
    pub every_ms: u64,
    /// Length of a slowdown, in milliseconds.
    pub for_ms: u64,
    /// Factor on work in a slowdown.
    pub factor: f64,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read, or which field is wrong.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let scenario: Self = serde_json::from_str(&text)
            .wrap_err_with(|| format!("{} is not a scenario", path.display()))?;
        scenario.check().wrap_err_with(|| format!("{}", path.display()))?;
        Ok(scenario)
    }

    /// Returns the calls a second at which the slots of the busiest service are all in use.
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
        ensure!(!self.zone_delay_us.is_empty(), "zone_delay_us names no availability zone");
        ensure!(!self.mix.is_empty(), "mix names no kind of call");
        for kind in &self.mix {
            let served = self.services.iter().any(|service| service.serves(&kind.path));
            ensure!(served, "mix: no service serves {}", kind.path);
        }
        Ok(())
    }
}

impl ScenarioService {
    /// Returns whether a path belongs to the service.
    #[must_use]
    pub fn serves(&self, path: &str) -> bool {
        self.path_prefixes.iter().any(|prefix| path.starts_with(prefix))
    }
}
