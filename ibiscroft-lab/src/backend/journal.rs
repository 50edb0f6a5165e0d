//! File of executions, readable after the backend server was killed.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Id of the run of the backend server.
    pub run: String,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Id of the call, if the load generator sent it.
    pub call: Option<String>,
}

/// Appends each execution to a file as a line of JSON, with one write.
#[derive(Debug)]
pub(super) struct Journal {
    file: File,
}

impl Journal {
    pub(super) fn open(path: &Path) -> Result<Self> {
        let file = File::options()
            .create(true)
            .append(true)
            .open(path)
            .wrap_err_with(|| format!("cannot open journal {} for writing", path.display()))?;
        Ok(Self { file })
    }

    pub(super) fn append(&mut self, entry: &JournalEntry) {
        let Ok(mut line) = serde_json::to_string(entry) else {
            return;
        };
        line.push('\n');
        if let Err(error) = self.file.write_all(line.as_bytes()) {
            log::error!("cannot append to the execution journal: {error}");
        }
    }
}

/// Reads the journal of a backend server.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a line is not a valid entry.
pub fn read_journal(path: &Path) -> Result<Vec<JournalEntry>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read journal {}", path.display()))?;
    let mut entries = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let entry = serde_json::from_str(line).wrap_err_with(|| {
            format!("journal {}, line {}: invalid entry", path.display(), index + 1)
        })?;
        entries.push(entry);
    }
    Ok(entries)
}
