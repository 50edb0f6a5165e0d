//! Client of the listener for operators that each gateway has.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_wire::codec;
use ibiscroft_wire::generated::peer::PeerMessage;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde_json::Value;

use crate::error::OpsError;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a whole call, including the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the states of gateways and sends records to them.
#[derive(Clone, Debug)]
pub(crate) struct GatewayClient(Client);

impl GatewayClient {
    /// Creates a client whose calls have timeouts.
    pub(crate) fn new() -> Result<Self, OpsError> {
        Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .build()
            .map(Self)
            .map_err(|error| OpsError::Usage(error.to_string()))
    }

    /// Returns the state of the gateway on `address`.
    pub(crate) async fn dump(&self, address: SocketAddr) -> Result<Value, OpsError> {
        self.call(address, self.0.get(format!("http://{address}/dump"))).await
    }

    /// Sends records that the store has accepted to the gateway on `address`.
    pub(crate) async fn send_registers(
        &self,
        address: SocketAddr,
        records: &PeerMessage,
    ) -> Result<Value, OpsError> {
        self.call(address, self.0.post(format!("http://{address}/registers")).json(records)).await
    }

    async fn call(&self, address: SocketAddr, req: RequestBuilder) -> Result<Value, OpsError> {
        let unavailable = |cause: String| OpsError::InstanceUnavailable { address, cause };
        let res = req.send().await.map_err(|error| unavailable(root_cause(&error)))?;
        let status = res.status();
        let body = res.text().await.map_err(|error| unavailable(root_cause(&error)))?;
        if status != StatusCode::OK {
            return Err(unavailable(format!("unexpected status {status}")));
        }
        codec::from_json(&body)
            .map_err(|error| unavailable(format!("the response is not JSON: {error}")))
    }
}

/// Returns the innermost cause of an error, which is usually that of the operating system.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
