//! The adapter's interface to the store that holds configuration, targets and gateways.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use ibiscroft_core::fleet::{GatewayCount, Member, Position, Update};
use ibiscroft_core::number_newtype;

number_newtype!(
    /// Identifier of a lease in the store; keys bound to a lease are removed when it expires.
    Lease(u64)
);

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// The store does not have the changes after the given revision: it no longer keeps them, or it
    /// has returned from an older copy.
    HistoryLost,
    /// The lease has expired or does not exist.
    LeaseExpired,
    /// The store could not be reached or refused the call; holds the reason.
    Unavailable(String),
    /// The store's response could not be decoded; holds the reason.
    Malformed(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("the store does not have these changes"),
            Self::LeaseExpired => f.write_str("the lease has expired or does not exist"),
            Self::Unavailable(reason) => write!(f, "store unavailable: {reason}"),
            Self::Malformed(reason) => write!(f, "store's response cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for RegistryError {}

/// A listing with a part of the targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ListingSample {
    /// The listed entries, as a full update.
    pub update: Update,
    /// Expected fraction of the targets that is listed, above 0 and at most 1.
    pub fraction: f64,
}

/// Client of the store in the types of `ibiscroft_core::fleet`.
///
/// All calls fail with [`RegistryError::Unavailable`] if the store does not respond.
pub trait Registry: Clone + Send + Sync + 'static {
    /// Checks whether the store responds to this gateway, by a call that does not count toward its
    /// rate limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn check(&self) -> impl Future<Output = Result<(), RegistryError>> + Send;

    /// Lists all entries.
    ///
    /// With `allow_stale` the result may be some seconds old.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or a response cannot be decoded.
    fn list(&self, allow_stale: bool)
    -> impl Future<Output = Result<Update, RegistryError>> + Send;

    /// Lists the configuration, the evacuated zones, the gateways and a part of the targets, which
    /// suffices to serve callers until all are known. The result may be some seconds old.
    ///
    /// Gateways that start together pass different seeds and read different parts, so that the
    /// store can answer all of them at once.
    ///
    /// # Errors
    ///
    /// Returns an error if a call fails or a response cannot be decoded.
    fn list_sample(
        &self,
        seed: u64,
    ) -> impl Future<Output = Result<ListingSample, RegistryError>> + Send;

    /// Lists the gateways; the result may be some seconds old and replaces no other entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or a response cannot be decoded.
    fn list_gateways(&self) -> impl Future<Output = Result<Update, RegistryError>> + Send;

    /// Waits for changes after the position `after`, at most for `wait`, and returns them.
    ///
    /// The update may be of a later era than `after`; it then lacks what the store lost.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::HistoryLost`] if the store does not have these changes, and other
    /// errors if the call fails or the response cannot be decoded.
    fn watch(
        &self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, RegistryError>> + Send;

    /// Creates a lease with time to live `ttl` and registers the gateway `member` under it.
    ///
    /// # Errors
    ///
    /// Returns an error if a call fails or a response cannot be decoded.
    fn register(
        &self,
        member: &Member,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, RegistryError>> + Send;

    /// Renews a lease for its time to live.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::LeaseExpired`] if the store no longer holds the lease, and
    /// [`RegistryError::Unavailable`] if the call fails.
    fn renew_lease(&self, lease: Lease) -> impl Future<Output = Result<(), RegistryError>> + Send;

    /// Writes the number of gateways in the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn write_gateway_count(
        &self,
        count: GatewayCount,
    ) -> impl Future<Output = Result<(), RegistryError>> + Send;
}
