//! Attempts made for one request.

use std::time::Duration;

use ibiscroft_core::ids::TargetName;

use crate::reply::{Failure, FailureKind, Reply, TargetResponse};

/// Attempts made for one request so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Targets to which the request was sent, or should have been, in the order of the attempts.
    pub(super) attempted: Vec<TargetName>,
    /// Number of attempts in which the request was handed to a connection.
    pub(super) sent: u32,
    /// Number of attempts in which no byte of the request was sent.
    pub(super) unsent: u32,
    /// Failure of the last attempt in which the request may have run.
    pub(super) possibly_run: Option<Failure>,
    /// Response of a target that failed the request; the caller gets it if no other target
    /// succeeds.
    pub(super) error_response: Option<TargetResponse>,
}

impl Progress {
    /// Returns the target of the attempt that has not ended, if any.
    fn running(&self) -> Option<&TargetName> {
        let ended = (self.sent + self.unsent) as usize;
        self.attempted.get(ended)
    }

    /// Returns the outcome for a request whose last attempt ended with `failure`.
    ///
    /// The response of a target that failed the request takes precedence. Otherwise a failure that
    /// guarantees that the request has not run is replaced if it may have run in an earlier
    /// attempt.
    pub(super) fn final_reply(&mut self, failure: Failure) -> Reply {
        if let Some(response) = self.error_response.take() {
            return Ok(response);
        }
        match self.possibly_run.take() {
            Some(earlier) if failure.kind.guarantees_not_run() => Err(earlier),
            _ => Err(failure),
        }
    }

    /// Returns the failure of a request that had no response when the stopping gateway ceased to wait
    /// for one.
    pub(super) fn interrupted(&self) -> Failure {
        match self.running() {
            Some(target) => {
                let detail = format!("the gateway is stopping, target {target} has not answered");
                Failure::new(FailureKind::ResponseLost, detail)
            }
            None => {
                let detail = "the gateway is stopping, no target was found in time";
                Failure::new(FailureKind::Stopping, detail).retry_after(Duration::ZERO)
            }
        }
    }
}
