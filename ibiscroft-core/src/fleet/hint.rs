//! What gateways tell each other at once, beside what the store holds.

use serde::{Deserialize, Serialize};

use super::target::GatewayCount;
use crate::quarantine::{Fingerprint, Loss};

/// Something that one gateway saw and the others must know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// A request was lost together with the target that ran it.
    Lost(Loss),
    /// A request that was lost with a target before was answered.
    Answered(Fingerprint),
}

/// What a gateway tells the one that it follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerMessage {
    /// How many gateways it speaks for.
    Gateways(GatewayCount),
    /// Something that it or one of its followers saw.
    Hint(Hint),
}
