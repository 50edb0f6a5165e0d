//! Errors of the command line.

use std::fmt;
use std::net::SocketAddr;

use ibiscroft_core::data;
use ibiscroft_core::ids::{ChangeId, Generation, InstanceName, ZoneName};
use ibiscroft_wire::Faults;

use crate::exit_code::ExitCode;

data! {
    /// Error of a command.
    pub enum OpsError {
        /// A file or the random source of the operating system could not be read.
        File {
            /// Path as given on the command line, or `random` for the random source.
            path: String,
            /// Error of the operating system.
            cause: String,
        },
        /// The command line lacks an option or contains an invalid value, or an HTTP client could
        /// not be created; holds the message.
        Usage(String),
        /// The questionnaire is not valid.
        Questionnaire(Faults),
        /// The store could not be reached or gave no usable response.
        StoreUnavailable {
            /// Addresses of the store as given on the command line.
            tried: Vec<SocketAddr>,
            /// Error of the last attempt.
            cause: String,
        },
        /// The store returned a response or a value that is not valid.
        StoreProtocol(String),
        /// Another change was accepted first, so this one was not written.
        LostRace {
            /// Identifier of the change that was accepted.
            winner: ChangeId,
            /// Generation of that change.
            generation: Generation,
        },
        /// The response to a write was lost, and reading the store did not show the outcome.
        OutcomeUnknown {
            /// Identifier of the change whose outcome is unknown.
            change_id: ChangeId,
            /// Why the outcome could not be determined.
            cause: String,
        },
        /// No configuration has been accepted yet.
        NoConfiguration,
        /// The availability zone is not in the configuration.
        UnknownZone {
            /// Availability zone given on the command line.
            zone: ZoneName,
            /// Availability zones in the configuration.
            allowed: Vec<ZoneName>,
        },
        /// The availability zone is the last one in service.
        LastZone(ZoneName),
        /// No gateway on the roster has this name.
        UnknownInstance {
            /// Name given on the command line.
            instance: InstanceName,
            /// Names of the gateways on the roster.
            known: Vec<InstanceName>,
        },
        /// The gateway gave no usable response on its address for operators.
        InstanceUnavailable {
            /// Address for operators of the gateway.
            address: SocketAddr,
            /// Why the call failed.
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
            Self::File { path, cause } => write!(f, "cannot read file {path:?}: {cause}"),
            Self::Usage(message) => f.write_str(message),
            Self::Questionnaire(faults) => write!(f, "{faults}"),
            Self::StoreUnavailable { tried, cause } => {
                write!(f, "the store does not respond on {}: {cause}", join(tried))
            }
            Self::StoreProtocol(message) => {
                write!(f, "unexpected response from the store: {message}")
            }
            Self::LostRace { winner, generation } => write!(
                f,
                "not written: change {winner} was accepted first as generation {generation}; \
                 check it and run the command again"
            ),
            Self::OutcomeUnknown { change_id, cause } => write!(
                f,
                "it is unknown whether change {change_id} was written ({cause}); \
                 run `status` once the store responds"
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
                "availability zone {zone} is the last one in service; \
                 without it no request is served (--force takes it out anyway)"
            ),
            Self::UnknownInstance { instance, known } => write!(
                f,
                "no gateway on the roster is named {:?}; known are {}",
                instance.as_str(),
                join(known)
            ),
            Self::InstanceUnavailable { address, cause } => {
                write!(f, "the gateway on {address} does not respond: {cause}")
            }
        }
    }
}

impl std::error::Error for OpsError {}

/// Joins items with commas; returns `(none)` if there are none.
fn join<T: fmt::Display>(items: &[T]) -> String {
    if items.is_empty() {
        return "(none)".to_string();
    }
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
