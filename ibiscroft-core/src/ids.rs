//! Newtypes for identifiers, sizes and rates.

use std::fmt;

use crate::{number_newtype, text_newtype};

/// Error of parsing an empty text as one of the text newtypes; holds the name of the type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EmptyText(pub &'static str);

impl fmt::Display for EmptyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} must not be empty", self.0)
    }
}

impl std::error::Error for EmptyText {}

text_newtype!(
    /// Name of a service, unique in a configuration.
    ServiceName
);
text_newtype!(
    /// Name of a target (a backend server of a service), unique in a configuration.
    TargetName
);
text_newtype!(
    /// Name of an availability zone.
    ZoneName
);
text_newtype!(
    /// Name of an instance that runs a gateway, unique among the running instances.
    InstanceName
);
text_newtype!(
    /// Identifier of one run of a backend server's process; each restart gives a new one.
    RunId
);
text_newtype!(
    /// Identifier of one request, which backend servers repeat in the response.
    RequestId
);
text_newtype!(
    /// Key that a caller chose for a request that must run at most once.
    IdempotencyKey
);
text_newtype!(
    /// Name of an organisation whose callers share keys and a quota, unique in a configuration.
    OrganisationName
);
text_newtype!(
    /// Random identifier of one operator change, by which a writer recognises its own write.
    ChangeId
);

number_newtype!(
    /// Version of a register (configuration or zone state); never decreases.
    Generation(u64)
);
number_newtype!(
    /// Version that the store gave to a key at its last write; 0 if the key does not exist.
    StoreVersion(u64)
);
number_newtype!(
    /// Number of requests that a target runs at once.
    Slots(u32)
);
number_newtype!(
    /// Number of connections that a target accepts from all gateways together.
    Connections(u32)
);
number_newtype!(
    /// Number of calls in the chain from the first caller up to and including this one.
    CallDepth(u8)
);
number_newtype!(
    /// Rate of events per second.
    PerSecond(u32)
);
number_newtype!(
    /// Share in parts per thousand.
    Permille(u32)
);
