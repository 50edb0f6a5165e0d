//! Hands out planned calls at their times, from a thread of its own.

use std::thread;
use std::time::Instant;

use tokio::sync::mpsc::{self, UnboundedReceiver};

use super::plan::{Plan, Planned};

/// Starts the thread; it ends with the plan, or when the receiver is dropped.
pub(crate) fn pace(plan: Plan, started: Instant) -> UnboundedReceiver<Planned> {
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
