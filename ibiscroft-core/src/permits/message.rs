//! Messages about permits between gateways.

use std::time::Duration;

use crate::ids::{InstanceName, RunId, StoreVersion, TargetName};
use crate::{copy_data, data, number_newtype};

number_newtype!(
    /// Identifies a permit request among those of one gateway, across its restarts.
    PermitId(u64)
);

copy_data! {
    /// What a backend server says of its own state with an answer.
    pub enum ReportedState {
        /// In cold start.
        Cold,
        /// Past cold start.
        Warm,
        /// Nothing was said.
        Unstated,
    }
}

data! {
    /// How the use of a permit ended. A request whose end is unknown is not reported.
    pub enum Outcome {
        /// No byte of the request was sent.
        NotSent,
        /// The whole answer arrived.
        Served {
            /// Run that answered, when stated.
            run: Option<RunId>,
            /// State the answer stated.
            state: ReportedState,
        },
    }

    /// A message between a gateway and a lease holder.
    pub enum PermitMessage {
        /// Asks for permission to send one request.
        Request {
            /// Identifier chosen by the sender.
            id: PermitId,
            /// Target to send to.
            target: TargetName,
            /// How long the sender waits for the answer.
            wait: Duration,
        },
        /// Permits one request.
        Grant {
            /// From the request.
            id: PermitId,
            /// From the request.
            target: TargetName,
            /// Time from the sending of the permit request within which to send.
            valid_for: Duration,
            /// Longest time the request may run.
            run_limit: Duration,
            /// Run that the holder knows to be warm.
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
        /// Ends the use of a permit.
        Return {
            /// From the request.
            id: PermitId,
            /// From the request.
            target: TargetName,
            /// How the use ended.
            outcome: Outcome,
        },
        /// Tells every gateway that a run fell back into cold start.
        Cold {
            /// Target that is cold.
            target: TargetName,
            /// Run that is cold, when known.
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
