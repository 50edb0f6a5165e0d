//! What commands print, as text or as JSON.

use std::fmt;

use serde::Serialize;

use crate::answer::{AnswerReport, CheckReport};
use crate::dump::DumpReport;
use crate::error::OpsError;
use crate::exit_code::ExitCode;
use crate::status::StatusReport;
use crate::zone::ZoneReport;

/// What a command reports.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Report {
    /// Of `answer`.
    Answer(AnswerReport),
    /// Of `check`.
    Check(CheckReport),
    /// Of `zone`.
    Zone(ZoneReport),
    /// Of `status`.
    Status(StatusReport),
    /// Of `dump`.
    Dump(DumpReport),
}

impl Report {
    /// Returns the exit code of the process.
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

/// An error as JSON.
#[derive(Debug, Serialize)]
struct ErrorReport {
    exit_code: u8,
    error: String,
    faults: Vec<FaultReport>,
}

/// A fault of a questionnaire as JSON.
#[derive(Debug, Serialize)]
struct FaultReport {
    path: String,
    message: String,
}

/// Prints the result of a command and returns its exit code.
///
/// Reports go to standard output and errors to standard error; with `json` both are JSON.
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
