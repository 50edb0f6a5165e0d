//! Record of executions that outlives the process.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Run of the backend server.
    pub run: String,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Call named by a lab caller.
    pub call: Option<String>,
}

/// Appends executions to a file, each with one write.
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
            .wrap_err_with(|| format!("cannot write {}", path.display()))?;
        Ok(Self { file })
    }

    pub(super) fn append(&mut self, entry: &JournalEntry) {
        let Ok(mut line) = serde_json::to_string(entry) else {
            return;
        };
        line.push('\n');
        if let Err(error) = self.file.write_all(line.as_bytes()) {
            log::error!("cannot write the journal: {error}");
        }
    }
}

/// Reads the executions that a backend server recorded.
///
/// # Errors
///
/// Returns why the file cannot be read or which line is damaged.
pub fn read_journal(path: &Path) -> Result<Vec<JournalEntry>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let mut entries = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let entry = serde_json::from_str(line)
            .wrap_err_with(|| format!("{} line {}", path.display(), index + 1))?;
        entries.push(entry);
    }
    Ok(entries)
}
