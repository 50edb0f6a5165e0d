//! Client of the gateways' listener for operators.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_wire::codec;
use ibiscroft_wire::generated::peer::PeerMessage;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde_json::Value;

use crate::error::OpsError;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks gateways for their state and hands records over to them.
#[derive(Clone, Debug)]
pub(crate) struct GatewayClient(Client);

impl GatewayClient {
    /// Makes a client with bounded waits.
    pub(crate) fn new() -> Result<Self, OpsError> {
        Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .build()
            .map(Self)
            .map_err(|error| OpsError::Usage(error.to_string()))
    }

    /// Asks the gateway on `address` for its state.
    pub(crate) async fn dump(&self, address: SocketAddr) -> Result<Value, OpsError> {
        self.call(address, self.0.get(format!("http://{address}/dump"))).await
    }

    /// Hands records that the store accepted to the gateway on `address`.
    pub(crate) async fn hand_over(
        &self,
        address: SocketAddr,
        records: &PeerMessage,
    ) -> Result<Value, OpsError> {
        self.call(address, self.0.post(format!("http://{address}/registers")).json(records)).await
    }

    async fn call(&self, address: SocketAddr, req: RequestBuilder) -> Result<Value, OpsError> {
        let unavailable = |cause: String| OpsError::InstanceUnavailable { address, cause };
        let answer = req.send().await.map_err(|error| unavailable(root_cause(&error)))?;
        let status = answer.status();
        let body = answer.text().await.map_err(|error| unavailable(root_cause(&error)))?;
        if status != StatusCode::OK {
            return Err(unavailable(format!("answered {status}")));
        }
        codec::from_json(&body).map_err(|error| unavailable(format!("not JSON: {error}")))
    }
}

/// Returns the innermost cause of an error, which names what the system said.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
