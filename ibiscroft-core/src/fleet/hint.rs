//! Messages that gateways send each other immediately, without writing them to the store.

use serde::{Deserialize, Serialize};

use super::leaving_targets::Departure;
use super::quota::{QuotaNotice, QuotaReport};
use super::shared_health::TargetFinding;
use super::target::GatewayCount;
use crate::quarantine::{Fingerprint, Loss};

/// An observation of one gateway that all others need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// A request was lost when the run of its target ended.
    Lost(Loss),
    /// A request that had been lost with a target before received a response.
    Answered(Fingerprint),
    /// A target announced in a response that it is leaving.
    Leaving(Departure),
    /// The fractions of requests that the root of the fleet admits; valid only from a source.
    Quota(QuotaNotice),
    /// Targets that refused connections, or whose addresses other targets have.
    TargetDown(Vec<TargetFinding>),
    /// Targets that respond again.
    TargetUp(Vec<TargetFinding>),
}

/// A message from a follower to its source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerMessage {
    /// Number of gateways that the follower represents: itself and its own followers.
    Gateways(GatewayCount),
    /// An observation of the follower or of one of its own followers.
    Hint(Hint),
    /// Demand of organisations at the follower and its own followers.
    Quota(QuotaReport),
}
