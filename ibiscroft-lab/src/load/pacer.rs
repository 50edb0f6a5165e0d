//! Releases planned calls when they are due, from a dedicated thread.

use std::thread;
use std::time::Instant;

use tokio::sync::mpsc::{self, UnboundedReceiver};

use super::plan::{Plan, PlannedCall};

/// Starts the thread, which ends when the plan is exhausted or the receiver is dropped.
pub(crate) fn pace(plan: Plan, started: Instant) -> UnboundedReceiver<PlannedCall> {
    let (tx, rx) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for call in plan {
            let due = started + call.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if tx.send(call).is_err() {
                return;
            }
        }
    });
    rx
}
