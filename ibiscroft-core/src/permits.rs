//! Permits for requests to targets in cold start.
//!
//! A gateway treats a target as cold unless it has a certificate that the target's current run is
//! warm. It sends a request to a cold target only under a permit. The permits of a target are
//! granted by one gateway, its lease holder, which never grants more permits at once than the
//! number of concurrent requests that the target can take in cold start.
//!
//! All periods in messages are relative to an event that each side sees on its own clock: the
//! requester sends the permit request, the lease holder receives it. So clocks are never compared,
//! and no upper bound of the message delay is assumed.

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
    /// Time limits and queue limits of permits.
    pub struct PermitLimits {
        /// Time from the grant within which the request must be sent.
        pub send_window: Duration,
        /// Longest time that a request sent under a permit may run.
        pub run_limit: Duration,
        /// Longest time from sending a request until the target receives it.
        pub transit_limit: Duration,
        /// Number of permit requests that may wait for one target at its lease holder.
        pub max_waiting_per_target: usize,
        /// Number of permit requests that one gateway may have open.
        pub max_open_requests: usize,
    }
}

impl PermitLimits {
    /// Returns the time after the grant at which the request has certainly ended.
    #[must_use]
    pub fn max_lifetime(&self) -> Duration {
        self.send_window + self.transit_limit + self.run_limit
    }
}
