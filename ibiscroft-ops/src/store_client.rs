//! Client of the store (the platform's key-value service) with the errors of the command line.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_core::ids::StoreVersion;
use ibiscroft_platform::{StoreClient as PlatformStoreClient, StoreError};
use ibiscroft_wire::generated::store::{Entry, EntryList};

use crate::error::OpsError;

/// Timeout for each attempt of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the store, whose addresses are tried in turn.
#[derive(Clone, Debug)]
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    client: PlatformStoreClient,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The store confirmed the write.
    Written,
    /// The key has another version than the expected one.
    Conflict,
    /// The response was lost; the write may have taken effect.
    Lost,
}

impl StoreClient {
    /// Creates a client for the store on `addresses`.
    ///
    /// # Errors
    ///
    /// Returns [`OpsError::Usage`] if `addresses` is empty or the HTTP client cannot be created.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, OpsError> {
        let client = PlatformStoreClient::new(addresses.clone(), CALL_TIMEOUT)
            .map_err(|error| OpsError::Usage(error.to_string()))?;
        Ok(Self { addresses, client })
    }

    /// Reads a key; returns `None` if it does not exist.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Entry>, OpsError> {
        self.client.read(key).await.map_err(|error| self.ops_error(error))
    }

    /// Lists the keys under a prefix with their values.
    pub(crate) async fn list(&self, prefix: &str) -> Result<EntryList, OpsError> {
        self.client.list(prefix).await.map_err(|error| self.ops_error(error))
    }

    /// Writes a key if its version is `expected`; version 0 means that the key must not exist.
    pub(crate) async fn write(
        &self,
        key: &str,
        value: String,
        expected: StoreVersion,
    ) -> Result<WriteOutcome, OpsError> {
        match self.client.write(key, value, expected, None).await {
            Ok(_) => Ok(WriteOutcome::Written),
            Err(StoreError::Conflict(_)) => Ok(WriteOutcome::Conflict),
            Err(StoreError::NoResponse(_)) => Ok(WriteOutcome::Lost),
            Err(error) => Err(self.ops_error(error)),
        }
    }

    /// Converts an error of the store to one of the command line.
    fn ops_error(&self, error: StoreError) -> OpsError {
        match error {
            StoreError::Unreachable(cause) | StoreError::NoResponse(cause) => {
                OpsError::StoreUnavailable { tried: self.addresses.clone(), cause }
            }
            error => OpsError::StoreProtocol(error.to_string()),
        }
    }
}
