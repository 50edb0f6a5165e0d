//! Records of the calls of a run.

use std::sync::Arc;
use std::time::Duration;

use super::options::LoadOptions;
use super::outcome::Outcome;
use super::plan::PlannedCall;

/// A call that has ended or was not sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRecord {
    /// Number of the call in the run, from 0.
    pub number: u64,
    /// Index of the kind in [`LoadOptions::mix`].
    pub kind: usize,
    /// Planned time since the start of the run.
    pub at: Duration,
    /// Delay between the planned and the actual time of sending; zero if the call was not sent.
    pub sent_late: Duration,
    /// Time from the planned time to the end of the call; zero if the call was not sent.
    pub latency: Duration,
    /// Outcome of the call.
    pub outcome: Outcome,
}

impl CallRecord {
    pub(super) fn not_sent(call: &PlannedCall) -> Self {
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

/// Records of all calls of a run, in the order of their planned times.
#[derive(Clone, Debug)]
pub struct CallRecords {
    options: Arc<LoadOptions>,
    calls: Vec<CallRecord>,
}

impl CallRecords {
    pub(super) fn new(options: Arc<LoadOptions>, calls: Vec<CallRecord>) -> Self {
        Self { options, calls }
    }

    /// Returns the options of the run.
    #[must_use]
    pub fn options(&self) -> &LoadOptions {
        &self.options
    }

    /// Returns the records of all calls.
    #[must_use]
    pub fn calls(&self) -> &[CallRecord] {
        &self.calls
    }

    /// Returns the ids of the calls with an outcome, as backend servers record them.
    #[must_use]
    pub fn call_ids(&self, outcome: Outcome) -> Vec<String> {
        let mut ids = Vec::new();
        for call in &self.calls {
            if call.outcome != outcome {
                continue;
            }
            ids.push(self.options.call_id(call.number));
        }
        ids
    }

    /// Returns the number of calls with an outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.calls.iter().filter(|call| call.outcome == outcome).count() as u64
    }
}

impl LoadOptions {
    /// Returns the id of a call: its request id, its call header and its idempotency key.
    pub(super) fn call_id(&self, number: u64) -> String {
        format!("{}-{number}", self.run)
    }
}
