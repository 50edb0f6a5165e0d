//! Registrations of targets and gateways.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, ServiceName, Slots, TargetName, ZoneName};
use crate::{copy_data, data, number_newtype};

number_newtype!(
    /// Start time of a target's process in Unix milliseconds; 0 if unknown.
    Incarnation(u64)
);

number_newtype!(
    /// Number of gateways.
    GatewayCount(u32)
);
number_newtype!(
    /// Capacity of a gateway's instance: thousandths of a core multiplied by Mbit/s.
    GatewayCapacity(u64)
);

copy_data! {
    /// Whether a target accepts new requests.
    #[derive(Serialize, Deserialize)]
    pub enum TargetState {
        /// It accepts requests.
        Ready,
        /// It will stop soon and accepts no new requests.
        Draining,
    }
}

data! {
    /// Registration of a backend server.
    #[derive(Serialize, Deserialize)]
    pub struct Target {
        /// Unique name.
        pub name: TargetName,
        /// Service that the target belongs to.
        pub service: ServiceName,
        /// Address on which it accepts requests.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: ZoneName,
        /// Number of requests that it processes concurrently.
        pub slots: Slots,
        /// Whether it accepts new requests.
        pub state: TargetState,
        /// Start time of its process; orders the runs of the target.
        #[serde(rename = "born")]
        pub incarnation: Incarnation,
        /// Number of the registration within the incarnation; increases with each update.
        pub sequence: u64,
        /// Remaining time for which it stays cold; zero when it is warm.
        pub cold_left: Duration,
    }

    /// Registration of a gateway.
    #[derive(Serialize, Deserialize)]
    pub struct Member {
        /// Unique name.
        pub name: InstanceName,
        /// Availability zone.
        pub zone: ZoneName,
        /// Address on which it accepts connections of other gateways.
        pub address: SocketAddr,
        /// Capacity for followers in addition to callers; larger for more processor and bandwidth.
        #[serde(rename = "strength")]
        pub capacity: GatewayCapacity,
    }
}

impl Target {
    /// Returns whether `self` is a later registration of the target than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns whether the registrations differ in more than their sequence number and the
    /// remaining cold time of a target that is cold in both.
    #[must_use]
    pub fn differs(&self, other: &Self) -> bool {
        let same = Self { sequence: other.sequence, cold_left: other.cold_left, ..self.clone() };
        same != *other || (self.cold_left.is_zero() != other.cold_left.is_zero())
    }
}
