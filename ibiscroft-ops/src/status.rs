//! The command `status`: shows what is in force on each gateway, and which gateways lag behind the
//! store.

use std::collections::BTreeMap;
use std::fmt;

use ibiscroft_core::ids::{ChangeId, Generation, InstanceName, TargetName, ZoneName};
use ibiscroft_wire::generated::configuration::{ConfigurationRecord, ZoneStateRecord};
use serde::Serialize;
use serde_json::Value;

use crate::error::OpsError;
use crate::fleet::{Fleet, register_generation};
use crate::register_client::{self, Register, Stored};
use crate::roster_client::Gateway;
use crate::store_client::StoreClient;
use crate::zone;

/// Result of `status`: what the store holds and what each gateway has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusReport {
    /// Configuration in the store.
    pub configuration: RegisterStatus,
    /// Zone state in the store.
    pub zones: RegisterStatus,
    /// Availability zones whose targets receive no new requests.
    pub out: Vec<ZoneName>,
    /// Gateways in the order of their names.
    pub gateways: Vec<GatewayStatus>,
    /// Targets by name, as reported by all gateways that responded.
    pub targets: BTreeMap<TargetName, TargetStatus>,
}

/// State of a register in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RegisterStatus {
    /// Generation; 0 if no change has been accepted yet.
    pub generation: Generation,
    /// Identifier of the change that produced this generation.
    pub change_id: Option<ChangeId>,
}

/// State of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GatewayStatus {
    /// Name of its instance.
    pub instance: InstanceName,
    /// Availability zone it runs in.
    pub availability_zone: ZoneName,
    /// Whether it accepts requests of callers; absent if it did not respond.
    pub ready: Option<bool>,
    /// Generation of the configuration in force; absent if it did not respond.
    pub configuration: Option<Generation>,
    /// Generation of the zone state in force; absent if it did not respond.
    pub zones: Option<Generation>,
    /// Whether its configuration or zone state is older than that in the store, or it did not
    /// respond.
    pub lags: bool,
    /// Error of reading its state.
    pub error: Option<String>,
}

/// State of one target, combined from the reports of all gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TargetStatus {
    /// Service it belongs to.
    pub service: String,
    /// Availability zone it runs in.
    pub availability_zone: String,
    /// Number of gateways that report the target in each state.
    pub states: BTreeMap<String, u32>,
    /// Requests in flight from all gateways.
    pub in_flight: u64,
}

impl StatusReport {
    /// Returns whether any gateway lags behind the store.
    #[must_use]
    pub fn is_lagging(&self) -> bool {
        self.gateways.iter().any(|gateway| gateway.lags)
    }
}

/// Reads the registers in the store and the state of every gateway on the roster.
pub(crate) async fn status(store: &StoreClient) -> Result<StatusReport, OpsError> {
    let configuration = register_client::read::<ConfigurationRecord>(store).await?;
    let zones = register_client::read::<ZoneStateRecord>(store).await?;
    let fleet = Fleet::query(store).await?;
    let mut report = StatusReport {
        configuration: register_status(&configuration),
        zones: register_status(&zones),
        out: out_zones(&zones),
        gateways: Vec::with_capacity(fleet.gateways.len()),
        targets: BTreeMap::new(),
    };
    for (gateway, state) in fleet.gateways {
        if let Ok(dump) = &state {
            add_targets(&mut report.targets, dump);
        }
        let status = gateway_status(&report, &gateway, state);
        report.gateways.push(status);
    }
    Ok(report)
}

fn register_status<R: Register>(stored: &Stored<R>) -> RegisterStatus {
    RegisterStatus {
        generation: stored.generation(),
        change_id: stored.record.as_ref().map(Register::change_id),
    }
}

fn out_zones(stored: &Stored<ZoneStateRecord>) -> Vec<ZoneName> {
    let Some(record) = &stored.record else {
        return Vec::new();
    };
    record.out.iter().map(|name| ZoneName::new(name.as_str())).collect()
}

fn gateway_status(
    report: &StatusReport,
    gateway: &Gateway,
    state: Result<Value, OpsError>,
) -> GatewayStatus {
    let mut status = GatewayStatus {
        instance: gateway.instance.clone(),
        availability_zone: gateway.zone.clone(),
        ready: None,
        configuration: None,
        zones: None,
        lags: true,
        error: None,
    };
    match state {
        Ok(dump) => {
            status.ready = dump["ready"].as_bool();
            status.configuration = register_generation(&dump, "configuration");
            status.zones = register_generation(&dump, "zones");
            status.lags = status.configuration < Some(report.configuration.generation)
                || status.zones < Some(report.zones.generation);
        }
        Err(error) => status.error = Some(error.to_string()),
    }
    status
}

/// Adds the targets in the state of one gateway; missing fields count as empty or 0.
fn add_targets(targets: &mut BTreeMap<TargetName, TargetStatus>, dump: &Value) {
    let Some(dumped) = dump["targets"].as_array() else {
        return;
    };
    for target in dumped {
        let Some(name) = target["name"].as_str() else {
            continue;
        };
        let status = targets.entry(TargetName::new(name)).or_default();
        status.service = string_or_empty(&target["service"]);
        status.availability_zone = string_or_empty(&target["zone"]);
        status.in_flight += target["in_flight"].as_u64().unwrap_or(0);
        *status.states.entry(string_or_empty(&target["state"])).or_default() += 1;
    }
}

fn string_or_empty(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_string()
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "configuration: {}", self.configuration)?;
        writeln!(f, "zone state:    {}", self.zones)?;
        writeln!(f, "zones out:     {}", zone::join_names(&self.out))?;
        writeln!(f, "gateways ({}):", self.gateways.len())?;
        for gateway in &self.gateways {
            writeln!(f, "  {gateway}")?;
        }
        write!(f, "targets ({}):", self.targets.len())?;
        for (name, target) in &self.targets {
            write!(f, "\n  {name} {target}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RegisterStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change_id {
            Some(change_id) => write!(f, "generation {}, change {change_id}", self.generation),
            None => f.write_str("none accepted yet"),
        }
    }
}

impl fmt::Display for GatewayStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.instance, self.availability_zone)?;
        if let Some(error) = &self.error {
            return write!(f, " LAGS: {error}");
        }
        let ready = if self.ready == Some(true) { "ready" } else { "not ready" };
        let lags = if self.lags { " LAGS" } else { "" };
        write!(
            f,
            " {ready}, configuration {}, zone state {}{lags}",
            self.configuration.unwrap_or_default(),
            self.zones.unwrap_or_default()
        )
    }
}

impl fmt::Display for TargetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({}, {}), {} in flight", self.service, self.availability_zone, self.in_flight)?;
        for (state, count) in &self.states {
            write!(f, ", {state} on {count}")?;
        }
        Ok(())
    }
}
