//! The closing table, judged by callers and backend servers.

use std::fmt;
use std::time::Duration;

use eyre::Result;

use super::added_time::AddedTime;
use super::fleet::Fleet;
use super::steps::{self, IN_FORCE, Steps};
use crate::backend::BackendCounters;
use crate::judge::Executed;
use crate::load::{LoadReport, Outcome, Records};

/// Smallest share of calls that must be answered, in percent.
const MIN_ANSWERED_PERCENT: u64 = 95;

/// What came of the demo.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    report: LoadReport,
    counts: Vec<(Outcome, u64)>,
    orders_ran: usize,
    doubled: usize,
    ran_though_not_run: usize,
    sent_to_zone_out: u64,
    sent_to_cold: u64,
    drain_received: u64,
    drain_last_after: Duration,
    received_after_return: u64,
    added: AddedTime,
}

impl Verdict {
    /// Asks the backend servers and reads their journals.
    pub(super) async fn reach(fleet: &Fleet, records: &Records, steps: &Steps) -> Result<Self> {
        let journals: Vec<_> = fleet.backends.iter().map(|backend| &backend.journal).collect();
        let executed = Executed::read(&journals)?;
        let counts = Outcome::ALL.map(|outcome| (outcome, records.count(outcome))).to_vec();
        let counters = living(fleet, &steps.killed).await?;
        let last_ms = counters.iter().map(|counters| counters.last_while_draining_ms).max();
        let returned = steps::received_in(fleet, steps::out_zone()).await?;
        Ok(Self {
            report: LoadReport::new(records)?,
            counts,
            orders_ran: executed.keys(),
            doubled: executed.doubled().len(),
            ran_though_not_run: executed.ran(&records.names(Outcome::NotRun)).len(),
            sent_to_zone_out: steps.received_while_out,
            sent_to_cold: counters.iter().map(|counters| counters.cold_violations).sum(),
            drain_received: counters.iter().map(|counters| counters.received_while_draining).sum(),
            drain_last_after: Duration::from_millis(last_ms.unwrap_or(0)),
            received_after_return: returned - steps.received_before_return,
            added: added_time(fleet).await?,
        })
    }

    /// Returns whether nothing was doubled, cut off or sent wrongly.
    pub(super) fn is_success(&self) -> bool {
        self.rows().iter().all(|row| row.kept)
    }

    fn count(&self, wanted: Outcome) -> u64 {
        self.counts.iter().find(|(outcome, _)| *outcome == wanted).map_or(0, |(_, count)| *count)
    }

    fn rows(&self) -> Vec<Row> {
        let calls = self.report.all.calls;
        let answered = self.count(Outcome::Answered);
        let drain_kept = self.drain_last_after <= IN_FORCE;
        let drain_last = self.drain_last_after.as_millis();
        let latency = &self.report.all.latency;
        vec![
            Row::shown("calls", calls),
            Row::judged("answered", answered, answered * 100 >= calls * MIN_ANSWERED_PERCENT),
            Row::shown("refused as not run", self.count(Outcome::NotRun)),
            Row::none("told not run but ran", self.ran_though_not_run as u64),
            Row::shown("outcome unknown", self.count(Outcome::Unknown)),
            Row::shown("orders that ran", self.orders_ran),
            Row::none("doubled", self.doubled as u64),
            Row::none("cut off", self.count(Outcome::CutOff)),
            Row::none("wrong bytes", self.count(Outcome::WrongBytes)),
            Row::none("timed out", self.count(Outcome::TimedOut)),
            Row::none("unreached", self.count(Outcome::Unreached)),
            Row::none("unexpected answers", self.count(Outcome::Unexpected)),
            Row::none("not sent by the load tool", self.count(Outcome::NotSent)),
            Row::none("sent to the zone out, after 3 s", self.sent_to_zone_out),
            Row::none("above what cold servers bear", self.sent_to_cold),
            Row::judged(
                "sent to the draining server",
                format!("{}, the last after {drain_last} ms", self.drain_received),
                drain_kept,
            ),
            Row::judged(
                "received by the zone after its return",
                self.received_after_return,
                self.received_after_return > 0,
            ),
            Row::shown(
                "p50 / p99 of callers",
                format!("{:.2} / {:.2} ms", ms(latency.p50_us), ms(latency.p99_us)),
            ),
            Row::shown(
                "p50 / p99 added by the gateways",
                format!("{} / {}", self.bound(0.5), self.bound(0.99)),
            ),
        ]
    }

    fn bound(&self, quantile: f64) -> String {
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
            let mark = if row.kept { "" } else { "   FAILED" };
            writeln!(f, "{:<38} {}{mark}", row.name, row.value)?;
        }
        f.write_str(if self.is_success() { "every promise kept" } else { "a promise was broken" })
    }
}

/// One line of the table.
#[derive(Clone, Debug)]
struct Row {
    name: &'static str,
    value: String,
    kept: bool,
}

impl Row {
    fn judged(name: &'static str, value: impl fmt::Display, kept: bool) -> Self {
        Self { name, value: value.to_string(), kept }
    }

    fn shown(name: &'static str, value: impl fmt::Display) -> Self {
        Self::judged(name, value, true)
    }

    /// A count that must be zero.
    fn none(name: &'static str, count: u64) -> Self {
        Self::judged(name, count, count == 0)
    }
}

/// Returns the counters of the servers that were not killed.
async fn living(fleet: &Fleet, killed: &str) -> Result<Vec<BackendCounters>> {
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
    for (_, operators) in fleet.operators() {
        let response = reqwest::get(format!("http://{operators}/metrics")).await?;
        added.add(&response.text().await?);
    }
    Ok(added)
}

fn ms(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
