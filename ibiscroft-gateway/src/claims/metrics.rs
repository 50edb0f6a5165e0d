//! Metrics of the claims.

use ibiscroft_core::claims::{ClaimCounters, ClaimVerdict};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the claims of one gateway.
#[derive(Clone, Debug)]
pub struct ClaimMetrics {
    verdicts: IntCounterVec,
    calls: IntCounterVec,
    open: IntGauge,
    last: ClaimCounters,
}

impl ClaimMetrics {
    /// Makes the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns the library's error when they are registered twice.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let verdicts = Opts::new("ibiscroft_claims_total", "Orders decided, by verdict");
        let calls = Opts::new("ibiscroft_claim_pages_total", "Calls for claim pages, by result");
        let open = "Orders without a recorded outcome";
        let metrics = Self {
            verdicts: IntCounterVec::new(verdicts, &["verdict"])?,
            calls: IntCounterVec::new(calls, &["call"])?,
            open: IntGauge::new("ibiscroft_claims_open", open)?,
            last: ClaimCounters::default(),
        };
        registry.register(Box::new(metrics.verdicts.clone()))?;
        registry.register(Box::new(metrics.calls.clone()))?;
        registry.register(Box::new(metrics.open.clone()))?;
        Ok(metrics)
    }

    /// Counts a verdict.
    pub(super) fn count(&self, verdict: &ClaimVerdict) {
        self.verdicts.with_label_values(&[verdict_name(verdict)]).inc();
    }

    /// Takes over the counters of the book.
    pub(super) fn update(&mut self, now: ClaimCounters, open: usize) {
        let changes = [
            ("read", now.reads - self.last.reads),
            ("write", now.writes - self.last.writes),
            ("conflict", now.conflicts - self.last.conflicts),
            ("lost", now.lost - self.last.lost),
        ];
        for (call, count) in changes {
            self.calls.with_label_values(&[call]).inc_by(count);
        }
        self.last = now;
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
