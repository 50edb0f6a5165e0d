//! The closed list of errors of the command line.

use std::fmt;
use std::net::SocketAddr;

use ibiscroft_core::data;
use ibiscroft_core::ids::{ChangeId, Generation, InstanceName, ZoneName};
use ibiscroft_wire::Faults;

use crate::exit_code::ExitCode;

data! {
    /// Why a command could not do what was asked.
    pub enum OpsError {
        /// A file could not be read.
        File {
            /// Path as given on the command line.
            path: String,
            /// What the system said.
            cause: String,
        },
        /// The command line lacks an option or holds an unusable value.
        Usage(String),
        /// The questionnaire has faults.
        Questionnaire(Faults),
        /// No address of the store answered.
        StoreUnavailable {
            /// Addresses that were tried.
            tried: Vec<SocketAddr>,
            /// What the last one said.
            cause: String,
        },
        /// The store answered something that is not part of its protocol.
        StoreProtocol(String),
        /// Another change was accepted first.
        LostRace {
            /// Change that was accepted.
            winner: ChangeId,
            /// Generation of the winning change.
            generation: Generation,
        },
        /// The answer to the write was lost and the store does not tell its outcome.
        OutcomeUnknown {
            /// Change whose outcome is unknown.
            change_id: ChangeId,
            /// What was seen instead.
            cause: String,
        },
        /// No configuration has been accepted yet.
        NoConfiguration,
        /// The availability zone is not in the configuration.
        UnknownZone {
            /// Availability zone that was asked for.
            zone: ZoneName,
            /// Availability zones in the configuration.
            allowed: Vec<ZoneName>,
        },
        /// Without this availability zone none would be left.
        LastZone(ZoneName),
        /// No live gateway has this name.
        UnknownInstance {
            /// Name that was asked for.
            instance: InstanceName,
            /// Names of the live gateways.
            known: Vec<InstanceName>,
        },
        /// The gateway does not answer on its operators' address.
        InstanceUnavailable {
            /// Operators' address of the gateway.
            address: SocketAddr,
            /// What went wrong.
            cause: String,
        },
    }
}

impl OpsError {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Self::File { .. } => ExitCode::Local,
            Self::Usage(_) => ExitCode::Usage,
            Self::Questionnaire(_) => ExitCode::InvalidQuestionnaire,
            Self::StoreUnavailable { .. } => ExitCode::StoreUnavailable,
            Self::StoreProtocol(_) => ExitCode::StoreProtocol,
            Self::LostRace { .. } => ExitCode::LostRace,
            Self::OutcomeUnknown { .. } => ExitCode::OutcomeUnknown,
            Self::NoConfiguration => ExitCode::NoConfiguration,
            Self::UnknownZone { .. } => ExitCode::UnknownZone,
            Self::LastZone(_) => ExitCode::LastZone,
            Self::UnknownInstance { .. } | Self::InstanceUnavailable { .. } => {
                ExitCode::InstanceUnavailable
            }
        }
    }
}

impl fmt::Display for OpsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, cause } => write!(f, "file {path:?} cannot be read: {cause}"),
            Self::Usage(message) => f.write_str(message),
            Self::Questionnaire(faults) => write!(f, "{faults}"),
            Self::StoreUnavailable { tried, cause } => {
                write!(f, "the store does not answer on {}: {cause}", join(tried))
            }
            Self::StoreProtocol(message) => write!(f, "unexpected answer of the store: {message}"),
            Self::LostRace { winner, generation } => write!(
                f,
                "not written: change {winner} was accepted first as generation {generation}; \
                 check it and run the command again"
            ),
            Self::OutcomeUnknown { change_id, cause } => write!(
                f,
                "it is unknown whether change {change_id} was written ({cause}); \
                 run `status` once the store answers"
            ),
            Self::NoConfiguration => {
                f.write_str("no configuration has been accepted yet; run `answer` first")
            }
            Self::UnknownZone { zone, allowed } => write!(
                f,
                "unknown availability zone {:?}; allowed are {}",
                zone.as_str(),
                join(allowed)
            ),
            Self::LastZone(zone) => write!(
                f,
                "availability zone {zone} is the last one in; \
                 without it no request is served (--force takes it out all the same)"
            ),
            Self::UnknownInstance { instance, known } => write!(
                f,
                "no live gateway is called {:?}; known are {}",
                instance.as_str(),
                join(known)
            ),
            Self::InstanceUnavailable { address, cause } => {
                write!(f, "the gateway on {address} does not answer: {cause}")
            }
        }
    }
}

impl std::error::Error for OpsError {}

/// Joins items with commas; says so when there are none.
fn join<T: fmt::Display>(items: &[T]) -> String {
    if items.is_empty() {
        return "(none)".to_string();
    }
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
