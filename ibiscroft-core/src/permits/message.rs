//! Messages about permits between gateways.

use std::time::Duration;

use crate::ids::{InstanceName, RunId, StoreVersion, TargetName};
use crate::{copy_data, data, number_newtype};

number_newtype!(
    /// Identifies a permit request of a gateway; not reused after a restart.
    PermitId(u64)
);

copy_data! {
    /// State that a backend server reports about itself with a response.
    pub enum ReportedState {
        /// In cold start.
        Cold,
        /// Past cold start.
        Warm,
        /// The response contained no state.
        Unstated,
    }
}

data! {
    /// How the request under a permit ended. Not reported when it may still be running.
    pub enum Outcome {
        /// The request did not run: nothing of it was sent, or the target refused it.
        NotSent,
        /// The whole response arrived.
        Served {
            /// Run that responded, if stated.
            run: Option<RunId>,
            /// State that the response reports.
            state: ReportedState,
        },
    }

    /// A message about permits between gateways.
    pub enum PermitMessage {
        /// Requests a permit to send one request; sent to the lease holder.
        Request {
            /// Identifier chosen by the sender.
            id: PermitId,
            /// Target to send to.
            target: TargetName,
            /// How long the sender waits for the permit.
            wait: Duration,
        },
        /// Grants a permit.
        Grant {
            /// From the request.
            id: PermitId,
            /// From the request.
            target: TargetName,
            /// Time, counted from the sending of the permit request, within which the permit must
            /// be used.
            valid_for: Duration,
            /// Longest time the request may run.
            run_limit: Duration,
            /// Run that the lease holder considers warm, if any.
            warm_run: Option<RunId>,
            /// Roster revision under which the permit was granted.
            roster_revision: StoreVersion,
        },
        /// Refuses a permit request.
        Refusal {
            /// From the request.
            id: PermitId,
            /// From the request.
            target: TargetName,
        },
        /// Returns a permit after its request ended.
        Return {
            /// From the request.
            id: PermitId,
            /// From the request.
            target: TargetName,
            /// How the request ended.
            outcome: Outcome,
        },
        /// Notifies all gateways that a run is in cold start again.
        Cold {
            /// Target of the run.
            target: TargetName,
            /// Run that is cold, if known.
            run: Option<RunId>,
        },
    }

    /// A message with its receiver.
    pub struct Envelope {
        /// Receiver.
        pub to: InstanceName,
        /// Content.
        pub message: PermitMessage,
    }
}
