//! Why a call to the key-value service did not succeed.

use std::fmt;

use ibiscroft_core::data;
use ibiscroft_core::ids::StoreVersion;

data! {
    /// Why a call to the key-value service did not succeed.
    pub enum StoreError {
        /// No address accepted the call; it had no effect.
        Unreachable(String),
        /// The answer was lost or late; a write may have taken effect.
        NoResponse(String),
        /// The key has another version than the expected one.
        Conflict(StoreVersion),
        /// The key or the lease does not exist.
        NotFound,
        /// The service refused the call or answered something unexpected.
        Refused(String),
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "store unreachable: {why}"),
            Self::NoResponse(why) => write!(f, "no answer from the store: {why}"),
            Self::Conflict(version) => write!(f, "the key has version {version}"),
            Self::NotFound => f.write_str("key or lease not found"),
            Self::Refused(why) => write!(f, "the store refused the call: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}
