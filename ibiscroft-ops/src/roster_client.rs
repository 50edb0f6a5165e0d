//! Reads the roster of running gateways.

use std::net::SocketAddr;

use ibiscroft_core::ids::{InstanceName, ZoneName};
use ibiscroft_wire::generated::roster::RosterEntry;
use ibiscroft_wire::{codec, keys};

use crate::error::OpsError;
use crate::store_client::StoreClient;

/// A gateway on the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Gateway {
    /// Name of its instance.
    pub(crate) instance: InstanceName,
    /// Availability zone it runs in.
    pub(crate) zone: ZoneName,
    /// Address for operators.
    pub(crate) address: SocketAddr,
}

/// Returns the gateways on the roster in the order of their names.
pub(crate) async fn gateways(store: &StoreClient) -> Result<Vec<Gateway>, OpsError> {
    let list = store.list(keys::ROSTER_PREFIX).await?;
    let mut gateways = Vec::with_capacity(list.entries.len());
    for entry in &list.entries {
        let Some(value) = &entry.value else {
            continue;
        };
        gateways.push(gateway(&entry.key, value)?);
    }
    gateways.sort_by(|left, right| left.instance.cmp(&right.instance));
    Ok(gateways)
}

fn gateway(key: &str, value: &str) -> Result<Gateway, OpsError> {
    let invalid = |cause: String| OpsError::StoreProtocol(format!("key {key}: {cause}"));
    let entry: RosterEntry = codec::from_json(value).map_err(|error| invalid(error.to_string()))?;
    let address = entry
        .operator
        .parse()
        .map_err(|_| invalid(format!("{:?} is not an IP address with a port", entry.operator)))?;
    Ok(Gateway {
        instance: InstanceName::new(entry.instance),
        zone: ZoneName::new(entry.availability_zone),
        address,
    })
}
