//! Finds live gateways through the roster and asks them for their state.

use std::net::SocketAddr;

use ibiscroft_core::ids::{InstanceName, ZoneName};
use ibiscroft_wire::generated::roster::RosterEntry;
use ibiscroft_wire::{codec, keys};
use reqwest::{Client, StatusCode, Url};
use serde_json::Value;

use crate::error::OpsError;
use crate::store_client::{StoreClient, fetch, root_cause};

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

/// Lists the live gateways by name.
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

/// Asks the gateway on `address` for its state.
pub(crate) async fn dump(http: &Client, address: SocketAddr) -> Result<Value, OpsError> {
    let unavailable = |cause: String| OpsError::InstanceUnavailable { address, cause };
    let url = Url::parse(&format!("http://{address}/dump"))
        .map_err(|error| unavailable(error.to_string()))?;
    let (status, body) = fetch(http, url).await.map_err(|error| unavailable(root_cause(&error)))?;
    if status != StatusCode::OK {
        return Err(unavailable(format!("answered {status}")));
    }
    codec::from_json(&body).map_err(|error| unavailable(format!("not JSON: {error}")))
}

fn gateway(key: &str, value: &str) -> Result<Gateway, OpsError> {
    let unusable = |cause: String| OpsError::StoreProtocol(format!("key {key}: {cause}"));
    let entry: RosterEntry =
        codec::from_json(value).map_err(|error| unusable(error.to_string()))?;
    let address = entry
        .operator
        .parse()
        .map_err(|_| unusable(format!("{:?} is not an IP address with a port", entry.operator)))?;
    Ok(Gateway {
        instance: InstanceName::new(entry.instance),
        zone: ZoneName::new(entry.availability_zone),
        address,
    })
}
