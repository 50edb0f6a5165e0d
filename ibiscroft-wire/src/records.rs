//! Conversions between records as stored and the types of `ibiscroft-core`.

use std::time::Duration;

use ibiscroft_core::config::{ColdLimits, Configuration, Route, Service, Target, ZoneState};
use ibiscroft_core::ids::{
    ChangeId, Connections, Generation, PerSecond, Permille, ServiceName, Slots, TargetName,
    ZoneName,
};

use crate::generated::configuration::{
    ConfigurationRecord, RouteRecord, ServiceRecord, TargetRecord, ZoneStateRecord,
};
use crate::schema_check::Fault;

/// Converts a configuration to its stored form.
#[must_use]
pub fn configuration_record(cfg: &Configuration) -> ConfigurationRecord {
    ConfigurationRecord {
        generation: cfg.generation.get(),
        change_id: cfg.change_id.to_string(),
        availability_zones: cfg.zones.iter().map(ToString::to_string).collect(),
        services: cfg.services.iter().map(service_record).collect(),
    }
}

/// Converts a configuration from its stored form.
///
/// # Errors
///
/// Returns the first target whose address is not an IP address with a port.
pub fn configuration(record: &ConfigurationRecord) -> Result<Configuration, Fault> {
    let mut services = Vec::with_capacity(record.services.len());
    for (index, stored) in record.services.iter().enumerate() {
        services.push(service(stored, index)?);
    }
    Ok(Configuration {
        generation: Generation(record.generation),
        change_id: ChangeId::new(record.change_id.as_str()),
        zones: record.availability_zones.iter().map(|name| ZoneName::new(name.as_str())).collect(),
        services,
    })
}

/// Converts a zone state to its stored form.
#[must_use]
pub fn zone_state_record(state: &ZoneState) -> ZoneStateRecord {
    ZoneStateRecord {
        generation: state.generation.get(),
        change_id: state.change_id.to_string(),
        out: state.out.iter().map(ToString::to_string).collect(),
    }
}

/// Converts a zone state from its stored form.
#[must_use]
pub fn zone_state(record: &ZoneStateRecord) -> ZoneState {
    ZoneState {
        generation: Generation(record.generation),
        change_id: ChangeId::new(record.change_id.as_str()),
        out: record.out.iter().map(|name| ZoneName::new(name.as_str())).collect(),
    }
}

fn service_record(service: &Service) -> ServiceRecord {
    ServiceRecord {
        name: service.name.to_string(),
        routes: service
            .routes
            .iter()
            .map(|route| RouteRecord {
                host: route.host.clone(),
                path_prefix: route.path_prefix.clone(),
            })
            .collect(),
        at_most_once_methods: service.at_most_once_methods.clone(),
        default_deadline_ms: millis(service.default_deadline),
        queue_wait_ms: millis(service.queue_wait),
        queue_limit: service.queue_limit,
        retry_share_permille: service.retry_share.get(),
        cold_concurrency: service.cold.concurrency,
        cold_warm_up_ms: millis(service.cold.warm_up),
        measuring_per_second: service.poll_budget.get(),
        targets: service.targets.iter().map(target_record).collect(),
    }
}

fn service(record: &ServiceRecord, index: usize) -> Result<Service, Fault> {
    let mut targets = Vec::with_capacity(record.targets.len());
    for (target_index, stored) in record.targets.iter().enumerate() {
        let path = format!("/services/{index}/targets/{target_index}/address");
        targets.push(target(stored, &path)?);
    }
    Ok(Service {
        name: ServiceName::new(record.name.as_str()),
        routes: record
            .routes
            .iter()
            .map(|route| Route { host: route.host.clone(), path_prefix: route.path_prefix.clone() })
            .collect(),
        at_most_once_methods: record.at_most_once_methods.clone(),
        default_deadline: Duration::from_millis(record.default_deadline_ms.into()),
        queue_wait: Duration::from_millis(record.queue_wait_ms.into()),
        queue_limit: record.queue_limit,
        retry_share: Permille(record.retry_share_permille),
        cold: ColdLimits {
            concurrency: record.cold_concurrency,
            warm_up: Duration::from_millis(record.cold_warm_up_ms.into()),
        },
        poll_budget: PerSecond(record.measuring_per_second),
        targets,
    })
}

fn target_record(target: &Target) -> TargetRecord {
    TargetRecord {
        name: target.name.to_string(),
        address: target.address.to_string(),
        availability_zone: target.zone.to_string(),
        slots: target.slots.get(),
        connections: target.connections.get(),
    }
}

fn target(record: &TargetRecord, path: &str) -> Result<Target, Fault> {
    let address = record.address.parse().map_err(|_| {
        let message = format!("{:?} is not an IP address with a port", record.address);
        Fault::new(path, message)
    })?;
    Ok(Target {
        name: TargetName::new(record.name.as_str()),
        address,
        zone: ZoneName::new(record.availability_zone.as_str()),
        slots: Slots(record.slots),
        connections: Connections(record.connections),
    })
}

/// Returns a duration in milliseconds, at most [`u32::MAX`].
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
