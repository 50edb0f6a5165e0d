//! Changes of what a fleet believes, as a store or another gateway tells them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use super::hint::Hint;
use super::target::{GatewayCount, Member, Target};
use crate::ids::{InstanceName, TargetName, ZoneName};
use crate::number_newtype;

number_newtype!(
    /// Revision of the store; rises with each change.
    Revision(u64)
);

/// One thing that became known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// Nothing more may be sent to the targets of a zone.
    ZoneOut(ZoneName),
    /// The zone may be used again.
    ZoneIn(ZoneName),
    /// A target registered itself.
    Target(Target),
    /// The registration of a target ended.
    TargetGone(TargetName),
    /// A gateway registered itself.
    Member(Member),
    /// The registration of a gateway ended.
    MemberGone(InstanceName),
    /// The number of gateways changed.
    Gateways(GatewayCount),
}

/// Changes that were read together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision that the changes follow on; anything before it is not among them.
    pub since: Revision,
    /// Revision of the store that the changes lead to.
    pub revision: Revision,
    /// Whether they are everything there is, so that what is not among them is gone.
    pub is_full: bool,
    /// The changes in their order.
    pub changes: Vec<Change>,
    /// What gateways saw.
    pub hints: Vec<Hint>,
    /// Time since the store was known to be at `revision`.
    pub age: Duration,
}
