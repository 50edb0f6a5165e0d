//! Permits for requests to targets in cold start.
//!
//! A gateway treats a target as unproven unless it has a certificate for the target's present
//! run. An unproven target receives a request only under a permit of its lease holder, which
//! never gives out more permits at once than the target bears in cold start.
//!
//! All periods in messages are relative to an instant that both sides know on their own clocks
//! (the sending and the arrival of the permit request), so clocks are never compared and no
//! bound on message delay is assumed.

pub mod certificate;
pub mod controller;
pub mod holder;
pub mod message;
pub mod requester;
pub mod warm_up;

use std::time::Duration;

pub use certificate::{Certificates, PermitProof, TargetResponse};
pub use controller::{Action, Controller};
pub use holder::Holder;
pub use message::{Envelope, Outcome, PermitId, PermitMessage, ReportedState};
pub use requester::{Permit, Requester};
pub use warm_up::WarmUp;

use crate::copy_data;

copy_data! {
    /// Time and size limits of permits.
    pub struct PermitLimits {
        /// Time within which a granted request must be sent.
        pub send_window: Duration,
        /// Longest time that a request under a permit may run.
        pub run_limit: Duration,
        /// Longest time that a sent request may be on the wire.
        pub transit_limit: Duration,
        /// Permit requests that may wait for one target.
        pub max_waiting_per_target: usize,
        /// Permit requests that one gateway may have open.
        pub max_open_requests: usize,
    }
}

impl PermitLimits {
    /// Returns the time after granting at which the request has ended for certain.
    #[must_use]
    pub fn hold(&self) -> Duration {
        self.send_window + self.transit_limit + self.run_limit
    }
}
