//! Verdict of the demo, from the results of callers and the counters of backend servers.

use std::fmt;
use std::time::Duration;

use eyre::Result;

use super::added_time::AddedTime;
use super::fleet::Fleet;
use super::steps::{self, PROPAGATION_LIMIT, Steps};
use crate::audit::ExecutionLog;
use crate::backend::BackendCounters;
use crate::load::{CallRecords, LoadReport, Outcome};

/// Minimum share of answered calls, in percent.
const MIN_ANSWERED_PERCENT: u64 = 95;

/// Results of the demo and the checks on them.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    report: LoadReport,
    counts: Vec<(Outcome, u64)>,
    executed_keys: usize,
    duplicate_keys: usize,
    executed_but_reported_not_run: usize,
    received_while_out: u64,
    cold_capacity_exceeded: u64,
    drain_received: u64,
    drain_last_after: Duration,
    received_after_return: u64,
    added: AddedTime,
}

impl Verdict {
    /// Collects the results from the call records, the backend servers and their journals.
    pub(super) async fn evaluate(
        fleet: &Fleet,
        records: &CallRecords,
        steps: &Steps,
    ) -> Result<Self> {
        let journals: Vec<_> = fleet.backends.iter().map(|backend| &backend.journal).collect();
        let executed = ExecutionLog::read(&journals)?;
        let counts = Outcome::ALL.map(|outcome| (outcome, records.count(outcome))).to_vec();
        let counters = surviving_counters(fleet, &steps.killed).await?;
        let last_ms = counters.iter().map(|counters| counters.last_while_draining_ms).max();
        let received = steps::received_in(fleet, steps::out_zone()).await?;
        Ok(Self {
            report: LoadReport::new(records)?,
            counts,
            executed_keys: executed.key_count(),
            duplicate_keys: executed.duplicate_keys().len(),
            executed_but_reported_not_run: executed
                .executed_calls(&records.call_ids(Outcome::NotRun))
                .len(),
            received_while_out: steps.received_while_out,
            cold_capacity_exceeded: counters.iter().map(|counters| counters.cold_violations).sum(),
            drain_received: counters.iter().map(|counters| counters.received_while_draining).sum(),
            drain_last_after: Duration::from_millis(last_ms.unwrap_or(0)),
            received_after_return: received - steps.received_before_return,
            added: added_time(fleet).await?,
        })
    }

    /// Returns whether all checks passed.
    pub(super) fn is_success(&self) -> bool {
        self.rows().iter().all(|row| row.passed)
    }

    fn count(&self, outcome: Outcome) -> u64 {
        self.counts.iter().find(|(counted, _)| *counted == outcome).map_or(0, |(_, count)| *count)
    }

    fn rows(&self) -> Vec<Row> {
        let calls = self.report.all.calls;
        let answered = self.count(Outcome::Answered);
        let drain_passed = self.drain_last_after <= PROPAGATION_LIMIT;
        let drain_last = self.drain_last_after.as_millis();
        let latency = &self.report.all.latency;
        vec![
            Row::info("calls", calls),
            Row::checked("answered", answered, answered * 100 >= calls * MIN_ANSWERED_PERCENT),
            Row::info("refused as not run", self.count(Outcome::NotRun)),
            Row::zero(
                "reported as not run but executed",
                self.executed_but_reported_not_run as u64,
            ),
            Row::info("outcome unknown", self.count(Outcome::Unknown)),
            Row::info("at-most-once requests that ran", self.executed_keys),
            Row::zero("doubled", self.duplicate_keys as u64),
            Row::zero("cut off", self.count(Outcome::CutOff)),
            Row::zero("wrong bytes", self.count(Outcome::WrongBytes)),
            Row::zero("timed out", self.count(Outcome::TimedOut)),
            Row::zero("unreached", self.count(Outcome::Unreached)),
            Row::zero("unexpected responses", self.count(Outcome::Unexpected)),
            Row::zero("not sent by the load generator", self.count(Outcome::NotSent)),
            Row::zero("sent to zone out of service after 3 s", self.received_while_out),
            Row::zero("above the capacity of cold servers", self.cold_capacity_exceeded),
            Row::checked(
                "sent to the draining server",
                format!("{}, the last after {drain_last} ms", self.drain_received),
                drain_passed,
            ),
            Row::checked(
                "received by the zone after its return",
                self.received_after_return,
                self.received_after_return > 0,
            ),
            Row::info(
                "p50 / p99 of callers",
                format!("{:.2} / {:.2} ms", millis(latency.p50_us), millis(latency.p99_us)),
            ),
            Row::info(
                "p50 / p99 added by the gateways",
                format!("{} / {}", self.format_bound(0.5), self.format_bound(0.99)),
            ),
        ]
    }

    /// Formats the bucket that contains a quantile of the added time.
    fn format_bound(&self, quantile: f64) -> String {
        match self.added.bound_ms(quantile) {
            Some(bound) => format!("up to {bound} ms"),
            None if self.added.calls() > 0 => "above the last bucket".to_string(),
            None => "not measured".to_string(),
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in self.rows() {
            let mark = if row.passed { "" } else { "   FAILED" };
            writeln!(f, "{:<38} {}{mark}", row.name, row.value)?;
        }
        f.write_str(if self.is_success() { "all checks passed" } else { "some checks failed" })
    }
}

/// A line of the table.
#[derive(Clone, Debug)]
struct Row {
    name: &'static str,
    value: String,
    passed: bool,
}

impl Row {
    /// Creates a row with a check.
    fn checked(name: &'static str, value: impl fmt::Display, passed: bool) -> Self {
        Self { name, value: value.to_string(), passed }
    }

    /// Creates a row without a check.
    fn info(name: &'static str, value: impl fmt::Display) -> Self {
        Self::checked(name, value, true)
    }

    /// Creates a row with a count that must be zero.
    fn zero(name: &'static str, count: u64) -> Self {
        Self::checked(name, count, count == 0)
    }
}

/// Returns the counters of the backend servers that were not killed.
async fn surviving_counters(fleet: &Fleet, killed: &str) -> Result<Vec<BackendCounters>> {
    let mut counters = Vec::new();
    for backend in &fleet.backends {
        if backend.process.name() == killed {
            continue;
        }
        counters.push(backend.admin.counters().await?);
    }
    Ok(counters)
}

async fn added_time(fleet: &Fleet) -> Result<AddedTime> {
    let mut added = AddedTime::default();
    for (_, operators) in fleet.operator_addresses() {
        let response = reqwest::get(format!("http://{operators}/metrics")).await?;
        added.add(&response.text().await?);
    }
    Ok(added)
}

/// Converts microseconds to milliseconds.
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
