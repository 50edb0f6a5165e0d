//! What became of a call, as its caller sees it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer arrived and is right.
    Answered,
    /// The caller was told that the call did not run.
    NotRun,
    /// The caller was told that the call may have run or did run, without its answer.
    Unknown,
    /// The connection ended before the whole answer.
    CutOff,
    /// The answer looks whole and is wrong.
    WrongBytes,
    /// No whole answer within the caller's timeout.
    TimedOut,
    /// No connection could be opened.
    Unreached,
    /// Another answer than the interfaces allow.
    Unexpected,
    /// Not sent, because too many calls were in flight.
    NotSent,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; 9] = [
        Self::Answered,
        Self::NotRun,
        Self::Unknown,
        Self::CutOff,
        Self::WrongBytes,
        Self::TimedOut,
        Self::Unreached,
        Self::Unexpected,
        Self::NotSent,
    ];
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::CutOff => "cut off",
            Self::WrongBytes => "wrong bytes",
            Self::TimedOut => "timed out",
            Self::Unreached => "unreached",
            Self::Unexpected => "unexpected",
            Self::NotSent => "not sent",
        })
    }
}
