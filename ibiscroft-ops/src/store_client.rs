//! The platform's key-value service as commands use it.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_core::ids::StoreVersion;
use ibiscroft_platform::{StoreClient as Platform, StoreError};
use ibiscroft_wire::generated::store::{Entry, EntryList};

use crate::error::OpsError;

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads and writes keys; addresses are tried in turn.
#[derive(Clone, Debug)]
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    platform: Platform,
}

/// How a compare-and-swap ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The store confirmed the write.
    Written,
    /// The key has another version than the expected one.
    Conflict,
    /// The answer was lost; the write may have taken effect.
    Lost,
}

impl StoreClient {
    /// Makes a client for the store on `addresses`.
    ///
    /// # Errors
    ///
    /// Returns a usage error when `addresses` is empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, OpsError> {
        let platform = Platform::new(addresses.clone(), CALL_TIMEOUT)
            .map_err(|error| OpsError::Usage(error.to_string()))?;
        Ok(Self { addresses, platform })
    }

    /// Reads one key; `None` when it does not exist.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Entry>, OpsError> {
        self.platform.read(key).await.map_err(|error| self.failed(error))
    }

    /// Lists the keys under a prefix.
    pub(crate) async fn list(&self, prefix: &str) -> Result<EntryList, OpsError> {
        self.platform.list(prefix).await.map_err(|error| self.failed(error))
    }

    /// Writes a key when its version is `expected`; 0 means that it must not exist.
    pub(crate) async fn write(
        &self,
        key: &str,
        value: String,
        expected: StoreVersion,
    ) -> Result<WriteOutcome, OpsError> {
        match self.platform.write(key, value, expected, None).await {
            Ok(_) => Ok(WriteOutcome::Written),
            Err(StoreError::Conflict(_)) => Ok(WriteOutcome::Conflict),
            Err(StoreError::NoResponse(_)) => Ok(WriteOutcome::Lost),
            Err(error) => Err(self.failed(error)),
        }
    }

    fn failed(&self, error: StoreError) -> OpsError {
        match error {
            StoreError::Unreachable(cause) | StoreError::NoResponse(cause) => {
                OpsError::StoreUnavailable { tried: self.addresses.clone(), cause }
            }
            error => OpsError::StoreProtocol(error.to_string()),
        }
    }
}
