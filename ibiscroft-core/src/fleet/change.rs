//! Changes to a view of the fleet, read from the store or received from another gateway.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use super::hint::Hint;
use super::target::{GatewayCount, Member, Target};
use crate::ids::{InstanceName, TargetName, ZoneName};
use crate::number_newtype;

number_newtype!(
    /// Revision of the store; increases with each change.
    Revision(u64)
);

/// A change of one entry of a [`View`](super::View).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A configuration was published.
    Configuration(Box<Configuration>),
    /// A zone was evacuated: its targets receive no further requests.
    ZoneOut(ZoneName),
    /// The evacuation of a zone ended.
    ZoneIn(ZoneName),
    /// A target registered itself or updated its registration.
    Target(Target),
    /// The registration of a target ended.
    TargetGone(TargetName),
    /// A gateway registered itself or updated its registration.
    Member(Member),
    /// The registration of a gateway ended.
    MemberGone(InstanceName),
    /// The number of gateways changed.
    Gateways(GatewayCount),
}

/// A batch of changes, as exchanged between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision that the changes start from; earlier changes are not included.
    pub since: Revision,
    /// Revision of the store after the changes.
    pub revision: Revision,
    /// Whether the changes describe the whole state; entries that are missing no longer exist.
    pub is_full: bool,
    /// The changes, in the order in which they apply.
    pub changes: Vec<Change>,
    /// Observations of gateways that are not kept in the store.
    pub hints: Vec<Hint>,
    /// Time since the store was last known to be at `revision`.
    pub age: Duration,
}
