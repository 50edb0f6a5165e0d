//! Exit codes of the command line.

use ibiscroft_core::copy_data;

copy_data! {
    /// Outcome of a command; its number is the exit code of the process.
    #[repr(u8)]
    pub enum ExitCode {
        /// The command succeeded.
        Success = 0,
        /// An operation on the local machine failed, such as reading a file.
        Local = 1,
        /// The command line is not valid.
        Usage = 2,
        /// The questionnaire is not valid; all its faults were printed.
        InvalidQuestionnaire = 3,
        /// The store could not be reached; nothing was written.
        StoreUnavailable = 4,
        /// Another change was accepted first; nothing was written.
        LostRace = 5,
        /// It is unknown whether the change was written.
        OutcomeUnknown = 6,
        /// The availability zone is not in the configuration.
        UnknownZone = 7,
        /// The change was rejected because it would leave no availability zone in service.
        LastZone = 8,
        /// The instance is unknown or its gateway does not respond.
        InstanceUnavailable = 9,
        /// A gateway does not have the newest configuration or zone state in force.
        Lagging = 10,
        /// No configuration has been accepted yet.
        NoConfiguration = 11,
        /// The store returned a response or a value that is not valid.
        StoreProtocol = 12,
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
