//! Exit codes of the command line.

use ibiscroft_core::copy_data;

copy_data! {
    /// How a command ended; the number is the exit code of the process.
    #[repr(u8)]
    pub enum ExitCode {
        /// The command did what was asked.
        Success = 0,
        /// The local machine failed, for example a file could not be read.
        Local = 1,
        /// The command line is wrong.
        Usage = 2,
        /// The questionnaire has faults; each one was printed.
        InvalidQuestionnaire = 3,
        /// The store could not be reached; nothing was written.
        StoreUnavailable = 4,
        /// Another operator's change came first; nothing was written.
        LostRace = 5,
        /// It is unknown whether the change was written.
        OutcomeUnknown = 6,
        /// The availability zone is not in the configuration.
        UnknownZone = 7,
        /// The change was refused because it would leave no availability zone.
        LastZone = 8,
        /// The instance is unknown or does not answer.
        InstanceUnavailable = 9,
        /// A gateway does not have the newest configuration or zone state in force.
        Lagging = 10,
        /// No configuration has been accepted yet.
        NoConfiguration = 11,
        /// The store answered something that is not part of its protocol.
        StoreProtocol = 12,
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
