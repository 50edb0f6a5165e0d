//! The store that holds configuration, targets and gateways.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use ibiscroft_core::fleet::{GatewayCount, Member, Revision, Update};
use ibiscroft_core::number_newtype;

number_newtype!(
    /// A lease in the store; keys that are bound to it end with it.
    Lease(u64)
);

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// The changes since the given revision are no longer kept.
    HistoryLost,
    /// The lease has ended.
    LeaseExpired,
    /// The store refused the call or was not reached.
    Unavailable(String),
    /// The store's answer could not be read.
    Malformed(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("the store no longer keeps these changes"),
            Self::LeaseExpired => f.write_str("the lease has ended"),
            Self::Unavailable(reason) => write!(f, "store unavailable: {reason}"),
            Self::Malformed(reason) => write!(f, "store's answer cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for RegistryError {}

/// Access to the store in the terms of the core.
pub trait Registry: Clone + Send + Sync + 'static {
    /// Reads everything; if it `may_be_stale`, as it stood up to some seconds ago.
    fn list(
        &self,
        may_be_stale: bool,
    ) -> impl Future<Output = Result<Update, RegistryError>> + Send;

    /// Waits up to `wait` for changes after a revision.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, RegistryError>> + Send;

    /// Takes a lease of `ttl` and registers the gateway under it.
    fn register(
        &self,
        member: &Member,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, RegistryError>> + Send;

    /// Renews the lease.
    fn renew_lease(&self, lease: Lease) -> impl Future<Output = Result<(), RegistryError>> + Send;

    /// Writes the number of gateways.
    fn write_gateway_count(
        &self,
        count: GatewayCount,
    ) -> impl Future<Output = Result<(), RegistryError>> + Send;
}
