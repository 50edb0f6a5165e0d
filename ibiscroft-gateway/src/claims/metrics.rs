//! Metrics of the claims of a gateway.

use ibiscroft_core::claims::{ClaimCounters, ClaimVerdict};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the claims of one gateway.
#[derive(Clone, Debug)]
pub struct ClaimMetrics {
    verdicts: IntCounterVec,
    page_calls: IntCounterVec,
    open: IntGauge,
    last: ClaimCounters,
}

impl ClaimMetrics {
    /// Creates the metrics and registers them in `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error if metrics of the same names are already registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let verdicts = Opts::new("ibiscroft_claims_total", "Orders decided, by verdict");
        let page_calls =
            Opts::new("ibiscroft_claim_pages_total", "Calls for claim pages, by result");
        let open = "Orders without a recorded outcome";
        let metrics = Self {
            verdicts: IntCounterVec::new(verdicts, &["verdict"])?,
            page_calls: IntCounterVec::new(page_calls, &["call"])?,
            open: IntGauge::new("ibiscroft_claims_open", open)?,
            last: ClaimCounters::default(),
        };
        registry.register(Box::new(metrics.verdicts.clone()))?;
        registry.register(Box::new(metrics.page_calls.clone()))?;
        registry.register(Box::new(metrics.open.clone()))?;
        Ok(metrics)
    }

    pub(super) fn count_verdict(&self, verdict: &ClaimVerdict) {
        self.verdicts.with_label_values(&[verdict_name(verdict)]).inc();
    }

    /// Updates the metrics to the coordinator's counters and its number of open claims.
    pub(super) fn update(&mut self, counters: ClaimCounters, open: usize) {
        let changes = [
            ("read", counters.reads - self.last.reads),
            ("write", counters.writes - self.last.writes),
            ("conflict", counters.conflicts - self.last.conflicts),
            ("lost", counters.lost - self.last.lost),
        ];
        for (call, count) in changes {
            self.page_calls.with_label_values(&[call]).inc_by(count);
        }
        self.last = counters;
        self.open.set(i64::try_from(open).unwrap_or(i64::MAX));
    }
}

fn verdict_name(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Proceed => "proceed",
        ClaimVerdict::Replay(_) => "replay",
        ClaimVerdict::Unknown => "unknown",
        ClaimVerdict::InProgress => "in_progress",
        ClaimVerdict::KeyReused => "key_reused",
        ClaimVerdict::KeyExpired => "key_expired",
        ClaimVerdict::KeyAhead => "key_ahead",
        ClaimVerdict::Unavailable => "unavailable",
    }
}
