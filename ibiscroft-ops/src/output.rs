//! Output of the commands, as text or as JSON.

use std::fmt;

use serde::Serialize;

use crate::answer::{AnswerReport, CheckReport};
use crate::dump::DumpReport;
use crate::error::OpsError;
use crate::exit_code::ExitCode;
use crate::status::StatusReport;
use crate::zone::ZoneReport;

/// Result of a command; serialized, it has the fields of the command's own report.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Report {
    /// Result of `answer`.
    Answer(AnswerReport),
    /// Result of `check`.
    Check(CheckReport),
    /// Result of `zone`.
    Zone(ZoneReport),
    /// Result of `status`.
    Status(StatusReport),
    /// Result of `dump`.
    Dump(DumpReport),
}

impl Report {
    /// Returns the exit code of the process: [`ExitCode::Lagging`] if `status` found a gateway that
    /// lags behind the store.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Status(report) if report.is_lagging() => ExitCode::Lagging,
            _ => ExitCode::Success,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(report) => report.fmt(f),
            Self::Check(report) => report.fmt(f),
            Self::Zone(report) => report.fmt(f),
            Self::Status(report) => report.fmt(f),
            Self::Dump(report) => report.fmt(f),
        }
    }
}

/// JSON form of an error.
#[derive(Debug, Serialize)]
struct ErrorReport {
    exit_code: u8,
    error: String,
    faults: Vec<FaultReport>,
}

/// JSON form of a fault of a questionnaire.
#[derive(Debug, Serialize)]
struct FaultReport {
    path: String,
    message: String,
}

/// Prints the result of a command and returns its exit code.
///
/// Reports are printed to standard output and errors to standard error, both as JSON if `json` is
/// set.
pub fn print(result: &Result<Report, OpsError>, json: bool) -> ExitCode {
    match result {
        Ok(report) if json => println!("{}", to_json(report)),
        Ok(report) => println!("{report}"),
        Err(error) if json => eprintln!("{}", to_json(&error_report(error))),
        Err(error) => eprintln!("{error}"),
    }
    match result {
        Ok(report) => report.exit_code(),
        Err(error) => error.exit_code(),
    }
}

fn error_report(error: &OpsError) -> ErrorReport {
    let faults = match error {
        OpsError::Questionnaire(faults) => faults.0.as_slice(),
        _ => &[],
    };
    ErrorReport {
        exit_code: error.exit_code() as u8,
        error: error.to_string(),
        faults: faults
            .iter()
            .map(|fault| FaultReport { path: fault.path.clone(), message: fault.message.clone() })
            .collect(),
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}
