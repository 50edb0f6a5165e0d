//! Detects that the gateway that another one follows no longer responds.

use std::time::Duration;

use crate::Tick;

/// Silence of a source after which it is asked whether it still responds; longer than the regular
/// interval between two updates.
const MAX_SILENCE: Duration = Duration::from_millis(800);
/// Time for which the answer is awaited. Together with `MAX_SILENCE` this is shorter than the
/// staleness at which a follower reads the store, so that it can find another source first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// What a follower does about its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceCheck {
    /// Nothing before the given instant.
    WaitUntil(Tick),
    /// Ask the source whether it still responds.
    Ask,
    /// Give the source up: it does not respond.
    GiveUp,
}

/// Monitors the connection to one source.
///
/// A source sends nothing while it receives no updates itself, as in an outage of the store, and a
/// connection can be cut without notice. Only an answer tells the two apart.
///
/// ```
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::fleet::{SourceCheck, SourceMonitor};
///
/// let mut monitor = SourceMonitor::new(Tick::ZERO);
/// assert_eq!(monitor.check(Tick::from_millis(800)), SourceCheck::Ask);
/// assert_eq!(monitor.check(Tick::from_millis(1_100)), SourceCheck::GiveUp);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SourceMonitor {
    heard_at: Tick,
    asked_at: Option<Tick>,
}

impl SourceMonitor {
    /// Creates the monitor of a connection that was opened at `now`.
    #[must_use]
    pub fn new(now: Tick) -> Self {
        Self { heard_at: now, asked_at: None }
    }

    /// Records that the source sent something.
    pub fn note_heard(&mut self, now: Tick) {
        *self = Self::new(now);
    }

    /// Returns what to do at `now`; [`SourceCheck::Ask`] is returned once per silence.
    pub fn check(&mut self, now: Tick) -> SourceCheck {
        let until = match self.asked_at {
            None => self.heard_at + MAX_SILENCE,
            Some(asked_at) => asked_at + ANSWER_TIMEOUT,
        };
        if now < until {
            return SourceCheck::WaitUntil(until);
        }
        if self.asked_at.replace(now).is_none() { SourceCheck::Ask } else { SourceCheck::GiveUp }
    }
}
