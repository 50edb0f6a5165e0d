//! Newtypes for identifiers, sizes and rates.

use std::fmt;

use crate::{number_newtype, text_newtype};

/// A text newtype was parsed from an empty text; holds the name of the type.
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
    /// Name of an instance that runs a gateway, unique among live instances.
    InstanceName
);
text_newtype!(
    /// Identifier of one run of a backend server's process; a restart changes it.
    RunId
);
text_newtype!(
    /// Identifier of one request, echoed by backend servers.
    RequestId
);
text_newtype!(
    /// Key a caller chose for a request that must run at most once.
    IdempotencyKey
);
text_newtype!(
    /// Random identifier of one operator change; recognises one's own write.
    ChangeId
);

number_newtype!(
    /// Version of a register (configuration or zone state); only ever rises.
    Generation(u64)
);
number_newtype!(
    /// Version the store gave to a key at its last write; 0 means the key does not exist.
    StoreVersion(u64)
);
number_newtype!(
    /// Requests a target runs at once.
    Slots(u32)
);
number_newtype!(
    /// Connections a target accepts from all gateways together.
    Connections(u32)
);
number_newtype!(
    /// Calls on the path from the first caller to this one.
    CallDepth(u8)
);
number_newtype!(
    /// Events per second.
    PerSecond(u32)
);
number_newtype!(
    /// A share in parts per thousand.
    Permille(u32)
);
