//! Report of a load run, as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::outcome::Outcome;
use super::records::{CallRecord, CallRecords};

/// Highest value of the latency histogram, in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Precision of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Number of calls by the text of their outcome.
pub type OutcomeCounts = BTreeMap<String, u64>;

/// Latency percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Latencies {
    /// Returns the percentiles of `latencies`.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created.
    pub fn of(latencies: impl IntoIterator<Item = Duration>) -> Result<Self> {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?;
        for latency in latencies {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            histogram.saturating_record(micros);
        }
        Ok(Self {
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        })
    }
}

/// Results for one kind of call, or for all calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the kind; `all` for all calls.
    pub name: String,
    /// Number of planned calls.
    pub calls: u64,
    /// Number of calls by outcome; outcomes that did not occur are absent.
    pub outcomes: OutcomeCounts,
    /// Latencies of answered calls, measured from the planned time.
    pub latency: Latencies,
}

/// Results of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Planned rate, in calls per second.
    pub rate: f64,
    /// Planned duration, in milliseconds.
    pub duration_ms: u64,
    /// Delays between the planned and the actual times of sending.
    pub sent_late: Latencies,
    /// Results for all calls.
    pub all: KindReport,
    /// Results by kind of call.
    pub kinds: Vec<KindReport>,
}

impl LoadReport {
    /// Summarizes the records of a run.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created.
    pub fn new(records: &CallRecords) -> Result<Self> {
        let options = records.options();
        let mut kinds = Vec::with_capacity(options.mix.len());
        for (index, kind) in options.mix.iter().enumerate() {
            let calls = records.calls().iter().filter(|call| call.kind == index);
            kinds.push(kind_report(&kind.name, calls)?);
        }
        Ok(Self {
            seed: options.seed,
            rate: options.rate,
            duration_ms: u64::try_from(options.duration.as_millis())?,
            sent_late: Latencies::of(records.calls().iter().map(|call| call.sent_late))?,
            all: kind_report("all", records.calls())?,
            kinds,
        })
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}  outcomes",
            "calls of", "calls", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"
        )?;
        for kind in self.kinds.iter().chain([&self.all]) {
            writeln!(f, "{kind}")?;
        }
        write!(f, "sent late: p99 {} ms", format_millis(self.sent_late.p99_us))
    }
}

impl fmt::Display for KindReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let latency = &self.latency;
        write!(f, "{:<16} {:>8}", self.name, self.calls)?;
        let percentiles =
            [latency.p50_us, latency.p90_us, latency.p99_us, latency.p999_us, latency.max_us];
        for micros in percentiles {
            write!(f, " {:>9}", format_millis(micros))?;
        }
        let mut separator = "  ";
        for (outcome, count) in &self.outcomes {
            write!(f, "{separator}{outcome} {count}")?;
            separator = ", ";
        }
        Ok(())
    }
}

fn kind_report<'a>(
    name: &str,
    calls: impl IntoIterator<Item = &'a CallRecord>,
) -> Result<KindReport> {
    let mut outcomes = OutcomeCounts::new();
    let mut latencies = Vec::new();
    let mut count = 0;
    for call in calls {
        count += 1;
        *outcomes.entry(call.outcome.to_string()).or_default() += 1;
        if call.outcome == Outcome::Answered {
            latencies.push(call.latency);
        }
    }
    let latency = Latencies::of(latencies)?;
    Ok(KindReport { name: name.to_string(), calls: count, outcomes, latency })
}

/// Formats microseconds as milliseconds with three decimals.
fn format_millis(micros: u64) -> String {
    format!("{}.{:03}", micros / 1_000, micros % 1_000)
}
