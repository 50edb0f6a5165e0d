//! The command `dump`: shows the state of one gateway.

use std::fmt;
use std::net::SocketAddr;

use ibiscroft_core::ids::InstanceName;
use serde::Serialize;
use serde_json::Value;

use crate::error::OpsError;
use crate::gateway_client::GatewayClient;
use crate::roster_client;
use crate::store_client::StoreClient;

/// State of one gateway, as the gateway returned it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DumpReport(pub Value);

impl fmt::Display for DumpReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

/// Requests the state of a gateway, given by the name of its instance or by its address for
/// operators. Only a name needs the store.
pub(crate) async fn dump(
    store: Option<&StoreClient>,
    instance: &str,
) -> Result<DumpReport, OpsError> {
    let address = match instance.parse() {
        Ok(address) => address,
        Err(_) => resolve_address(store, InstanceName::new(instance)).await?,
    };
    GatewayClient::new()?.dump(address).await.map(DumpReport)
}

/// Returns the address for operators of the gateway on `instance`.
async fn resolve_address(
    store: Option<&StoreClient>,
    instance: InstanceName,
) -> Result<SocketAddr, OpsError> {
    let Some(store) = store else {
        let message = "--store ADDR[,ADDR] is required to find an instance by name";
        return Err(OpsError::Usage(message.to_string()));
    };
    let gateways = roster_client::gateways(store).await?;
    if let Some(gateway) = gateways.iter().find(|gateway| gateway.instance == instance) {
        return Ok(gateway.address);
    }
    let known = gateways.into_iter().map(|gateway| gateway.instance).collect();
    Err(OpsError::UnknownInstance { instance, known })
}
