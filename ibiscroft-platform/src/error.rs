//! Errors of calls to the key-value service.

use std::fmt;

use ibiscroft_core::data;
use ibiscroft_core::ids::StoreVersion;

data! {
    /// Error of a call to the key-value service (the store).
    pub enum StoreError {
        /// No address accepted a connection, so the call had no effect; holds the last cause.
        Unreachable(String),
        /// No usable response arrived in time, so a write may have taken effect; holds the cause.
        /// A server error (5xx) counts as no response.
        NoResponse(String),
        /// The key has this version instead of the expected one.
        Conflict(StoreVersion),
        /// The key or the lease does not exist.
        NotFound,
        /// The service rejected the call or sent a response with an unexpected status, or the
        /// client could not be created; holds the details.
        Refused(String),
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "store unreachable: {cause}"),
            Self::NoResponse(cause) => write!(f, "no response from the store: {cause}"),
            Self::Conflict(version) => write!(f, "the key has version {version}"),
            Self::NotFound => f.write_str("key or lease not found"),
            Self::Refused(cause) => write!(f, "the store rejected the call: {cause}"),
        }
    }
}

impl std::error::Error for StoreError {}
