//! Result of a run as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::outcome::Outcome;
use super::records::{CallRecord, Records};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Calls by outcome.
pub type OutcomeCounts = BTreeMap<String, u64>;

/// Latencies, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// Half of the calls were faster.
    pub p50_us: u64,
    /// 9 in 10 calls were faster.
    pub p90_us: u64,
    /// 99 in 100 calls were faster.
    pub p99_us: u64,
    /// 999 in 1000 calls were faster.
    pub p999_us: u64,
    /// The slowest call.
    pub max_us: u64,
}

impl Latencies {
    /// Returns the quantiles of `spans`.
    ///
    /// # Errors
    ///
    /// Returns why the histogram cannot be made.
    pub fn of(spans: impl IntoIterator<Item = Duration>) -> Result<Self> {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, DIGITS)?;
        for span in spans {
            let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_LATENCY_US);
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

/// Result for one kind of call, or for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the kind.
    pub name: String,
    /// Calls planned.
    pub calls: u64,
    /// Calls by outcome; an absent outcome did not occur.
    pub outcomes: OutcomeCounts,
    /// Latencies of answered calls, from the planned time.
    pub latency: Latencies,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Calls a second, as planned.
    pub rate: f64,
    /// Length of the run, in milliseconds.
    pub duration_ms: u64,
    /// How much later than planned calls were sent.
    pub sent_late: Latencies,
    /// All calls.
    pub all: KindReport,
    /// Calls by kind.
    pub kinds: Vec<KindReport>,
}

impl LoadReport {
    /// Sums up a run.
    ///
    /// # Errors
    ///
    /// Returns why a histogram cannot be made.
    pub fn new(records: &Records) -> Result<Self> {
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
        write!(f, "sent late: p99 {} ms", millis(self.sent_late.p99_us))
    }
}

impl fmt::Display for KindReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let latency = &self.latency;
        write!(f, "{:<16} {:>8}", self.name, self.calls)?;
        let quantiles =
            [latency.p50_us, latency.p90_us, latency.p99_us, latency.p999_us, latency.max_us];
        for micros in quantiles {
            write!(f, " {:>9}", millis(micros))?;
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

fn millis(micros: u64) -> String {
    format!("{}.{:03}", micros / 1_000, micros % 1_000)
}
