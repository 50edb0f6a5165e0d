//! The command `zone`: takes an availability zone out of service or brings it back.

use std::fmt;

use ibiscroft_core::ids::{ChangeId, Generation, InstanceName, ZoneName};
use ibiscroft_wire::generated::configuration::{ConfigurationRecord, ZoneStateRecord};
use serde::Serialize;

use crate::args::Direction;
use crate::error::OpsError;
use crate::fleet::{Fleet, registers_message};
use crate::register_client;
use crate::store_client::StoreClient;

/// Result of `zone`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneReport {
    /// Whether a change was written; false if the zone already was in the requested state.
    pub changed: bool,
    /// Generation of the zone state.
    pub generation: Generation,
    /// Identifier of the change that produced this generation.
    pub change_id: ChangeId,
    /// Availability zones whose targets receive no new requests.
    pub out: Vec<ZoneName>,
    /// Availability zones whose targets receive requests.
    pub r#in: Vec<ZoneName>,
    /// Gateways that accepted the change directly; the others receive it within seconds.
    pub handed_to: Vec<InstanceName>,
}

/// Takes `zone` out of service or brings it back.
///
/// The zone state has its own key in the store, so that a new configuration never brings a zone
/// back into service.
///
/// # Errors
///
/// Returns [`OpsError::NoConfiguration`] if the store has no configuration,
/// [`OpsError::UnknownZone`] if the configuration does not have the zone (but a zone that is out of
/// service can always be brought back), and [`OpsError::LastZone`] if no zone would be left in
/// service, unless `force` is set.
pub(crate) async fn change(
    store: &StoreClient,
    direction: Direction,
    zone: &ZoneName,
    force: bool,
) -> Result<ZoneReport, OpsError> {
    let configuration = register_client::read::<ConfigurationRecord>(store).await?;
    let Some(configuration) = configuration.record else {
        return Err(OpsError::NoConfiguration);
    };
    let all = zone_names(&configuration.availability_zones);
    let stored = register_client::read::<ZoneStateRecord>(store).await?;
    let fleet = Fleet::query(store).await?;
    let newer = fleet.zones().filter(|zones| zones.generation > stored.generation().get());
    let is_store_older = newer.is_some();
    let newest = newer.as_ref().or(stored.record.as_ref());
    let current = newest.map_or_else(Vec::new, |record| zone_names(&record.out));
    let is_known = all.contains(zone) || direction == Direction::In && current.contains(zone);
    if !is_known {
        return Err(OpsError::UnknownZone { zone: zone.clone(), allowed: all });
    }
    let out = zones_out_after(&current, direction, zone);
    // If a gateway has a newer zone state than the store, it is written even if no zone changes.
    let is_unchanged = out == current && !is_store_older;
    if let (Some(record), true) = (&stored.record, is_unchanged) {
        let change_id = ChangeId::new(record.change_id.as_str());
        let generation = Generation(record.generation);
        let r#in = zones_in(&all, &out);
        let handed_to = Vec::new();
        return Ok(ZoneReport { changed: false, generation, change_id, out, r#in, handed_to });
    }
    let is_any_left = all.iter().any(|zone| !out.contains(zone));
    if direction == Direction::Out && !is_any_left && !force {
        return Err(OpsError::LastZone(zone.clone()));
    }
    let generation = Generation(newest.map_or(0, |record| record.generation) + 1);
    let change_id = register_client::random_change_id()?;
    let record = ZoneStateRecord {
        generation: generation.get(),
        change_id: change_id.to_string(),
        out: out.iter().map(ToString::to_string).collect(),
    };
    register_client::replace(store, &stored, &record).await?;
    let handed_to = fleet.distribute(&registers_message(&record, true)).await;
    let r#in = zones_in(&all, &out);
    Ok(ZoneReport { changed: true, generation, change_id, out, r#in, handed_to })
}

/// Returns the availability zones that are out of service after a change, sorted by name.
fn zones_out_after(current: &[ZoneName], direction: Direction, zone: &ZoneName) -> Vec<ZoneName> {
    let mut out: Vec<ZoneName> = current.iter().filter(|name| *name != zone).cloned().collect();
    if direction == Direction::Out {
        out.push(zone.clone());
    }
    out.sort();
    out
}

/// Returns the availability zones that are in service.
fn zones_in(all: &[ZoneName], out: &[ZoneName]) -> Vec<ZoneName> {
    all.iter().filter(|zone| !out.contains(zone)).cloned().collect()
}

fn zone_names(names: &[String]) -> Vec<ZoneName> {
    names.iter().map(|name| ZoneName::new(name.as_str())).collect()
}

impl fmt::Display for ZoneReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = if self.changed { "accepted" } else { "unchanged" };
        let change_id = &self.change_id;
        writeln!(f, "zone state {verb}: generation {}, change {change_id}", self.generation)?;
        writeln!(f, "out: {}", join_names(&self.out))?;
        write!(f, "in:  {}", join_names(&self.r#in))?;
        write_handed_to(f, self.changed, &self.handed_to)
    }
}

/// Joins the names of availability zones with commas; returns `(none)` if there are none.
pub(crate) fn join_names(zones: &[ZoneName]) -> String {
    if zones.is_empty() {
        return "(none)".to_string();
    }
    zones.iter().map(ZoneName::as_str).collect::<Vec<_>>().join(", ")
}

/// Writes the names of the gateways that accepted a change directly, if a change was written.
pub(crate) fn write_handed_to(
    f: &mut fmt::Formatter<'_>,
    changed: bool,
    handed_to: &[InstanceName],
) -> fmt::Result {
    if !changed {
        return Ok(());
    }
    if handed_to.is_empty() {
        return write!(f, "\nno gateway took it at once; `status` shows where it is in force");
    }
    let names: Vec<&str> = handed_to.iter().map(InstanceName::as_str).collect();
    write!(f, "\ntaken at once by: {}", names.join(", "))
}
