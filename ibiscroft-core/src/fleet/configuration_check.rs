//! Checks of a configuration before it is put in force, alone and against the one in force.
//!
//! [`check`] finds entries that have no effect and settings that contradict each other;
//! [`compare`] finds what differs from the configuration in force and what that does to callers.

mod difference;
mod issue;
mod organisations;

use std::fmt;

use crate::copy_data;

pub use difference::{ConfigurationDifference, LimitField, RouteField, compare};
pub use issue::{ConfigurationIssue, check};

copy_data! {
    /// Severity of a finding, in increasing order.
    #[derive(PartialOrd, Ord)]
    pub enum Severity {
        /// It may be intended.
        Note,
        /// It is probably a mistake, or callers lose something by it.
        Warning,
        /// The configuration must not be put in force.
        Error,
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Note => "note",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}
