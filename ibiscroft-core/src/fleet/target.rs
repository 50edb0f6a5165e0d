//! Targets and gateways as they register themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, ServiceName, Slots, TargetName, ZoneName};
use crate::{copy_data, data, number_newtype};

number_newtype!(
    /// Start of a target's process, in milliseconds of the time of day; 0 when it is not stated.
    Incarnation(u64)
);

number_newtype!(
    /// A number of gateways.
    GatewayCount(u32)
);
number_newtype!(
    /// What an instance can bear, in thousandths of a core times Mbit/s.
    GatewayCapacity(u64)
);

copy_data! {
    /// Whether a target takes new requests.
    #[derive(Serialize, Deserialize)]
    pub enum TargetState {
        /// It takes requests.
        Ready,
        /// It ends soon and takes no new requests.
        Draining,
    }
}

data! {
    /// A backend server as it registered itself.
    #[derive(Serialize, Deserialize)]
    pub struct Target {
        /// Unique name.
        pub name: TargetName,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests that it runs at once.
        pub slots: Slots,
        /// Whether it takes new requests.
        pub state: TargetState,
        /// Start of its process.
        #[serde(rename = "born")]
        pub incarnation: Incarnation,
        /// Number of the registration since the start of the process.
        pub sequence: u64,
        /// How much longer it stays cold.
        pub cold_left: Duration,
    }

    /// A gateway as it registered itself.
    #[derive(Serialize, Deserialize)]
    pub struct Member {
        /// Unique name.
        pub name: InstanceName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Where other gateways reach it.
        pub address: SocketAddr,
        /// What it can bear beside its callers: larger for more processor and bandwidth.
        #[serde(rename = "strength")]
        pub capacity: GatewayCapacity,
    }
}

impl Target {
    /// Returns whether `self` was said later than `other` by the target of this name.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns whether the two differ in more than the sequence of registrations.
    #[must_use]
    pub fn differs(&self, other: &Self) -> bool {
        let same = Self { sequence: other.sequence, cold_left: other.cold_left, ..self.clone() };
        same != *other || (self.cold_left.is_zero() != other.cold_left.is_zero())
    }
}
