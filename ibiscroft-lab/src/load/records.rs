//! What became of each call of a run.

use std::sync::Arc;
use std::time::Duration;

use super::options::LoadOptions;
use super::outcome::Outcome;
use super::plan::Planned;

/// One call that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRecord {
    /// Number in the run.
    pub number: u64,
    /// Index of the kind of call.
    pub kind: usize,
    /// Planned time since the start of the run.
    pub at: Duration,
    /// How much later than planned it was sent.
    pub sent_late: Duration,
    /// Time from the planned time to the end of the answer.
    pub latency: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

impl CallRecord {
    pub(super) fn not_sent(call: &Planned) -> Self {
        Self {
            number: call.number,
            kind: call.kind,
            at: call.at,
            sent_late: Duration::ZERO,
            latency: Duration::ZERO,
            outcome: Outcome::NotSent,
        }
    }
}

/// All calls of a run, in the order of their planned times.
#[derive(Clone, Debug)]
pub struct Records {
    options: Arc<LoadOptions>,
    calls: Vec<CallRecord>,
}

impl Records {
    pub(super) fn new(options: Arc<LoadOptions>, calls: Vec<CallRecord>) -> Self {
        Self { options, calls }
    }

    /// Returns the options of the run.
    #[must_use]
    pub fn options(&self) -> &LoadOptions {
        &self.options
    }

    /// Returns all calls.
    #[must_use]
    pub fn calls(&self) -> &[CallRecord] {
        &self.calls
    }

    /// Returns the names of the calls with an outcome, as backend servers know them.
    #[must_use]
    pub fn names(&self, outcome: Outcome) -> Vec<String> {
        let mut names = Vec::new();
        for call in &self.calls {
            if call.outcome != outcome {
                continue;
            }
            names.push(self.options.call_name(call.number));
        }
        names
    }

    /// Returns how many calls had an outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.calls.iter().filter(|call| call.outcome == outcome).count() as u64
    }
}

impl LoadOptions {
    /// Returns the name of a call: its request id, call header and idempotency key.
    pub(super) fn call_name(&self, number: u64) -> String {
        format!("{}-{number}", self.run)
    }
}
