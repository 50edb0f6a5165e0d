//! Limits on the requests of organisations over all gateways together.
//!
//! Each gateway decides with its [`QuotaGate`] about every request and counts demand. Reports of
//! the demand are summed along the tree that distributes updates, up to the gateway that reads the
//! store (the root). The [`QuotaLedger`] of the root derives the fraction of requests to admit,
//! which returns down the tree in a [`QuotaNotice`]. A gateway without recent notices admits its
//! share of the limit by the number of gateways.

mod collector;
mod gate;
mod ledger;
mod report;
mod share;

use std::time::Duration;

use super::organisation::Quota;

pub use gate::{QuotaDecision, QuotaGate, QuotaStatus};
pub use ledger::QuotaLedger;
pub use report::{Demand, LimitedOrganisation, QuotaNotice, QuotaReport};

/// Time between two reports, and between two notices, while demand does not rise.
const INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two reports, and between two notices, while demand rises.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the last message from which another gateway counts as out of contact.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(700);

/// The allowed error of quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the windows in which requests are bounded; above 0.
    pub window: Duration,
    /// Requests of an organisation in any window that are allowed beyond its quota, as a fraction
    /// of it.
    pub overage: f64,
    /// Requests of an organisation in any window that are allowed beyond its quota.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Returns the requests beyond the burst that a full bucket of the root holds; the other half of
    /// the slack covers the delay of reports.
    fn bucket_slack(self) -> f64 {
        self.slack / 2.0
    }

    /// Returns the requests that an organisation may make in any window according to its quota.
    fn window_quota(self, quota: Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    /// Returns the requests in a window from which the root admits no more than leave the window.
    ///
    /// It uses a sixth of the allowed error; the rest covers the delay of reports.
    fn window_limit(self, quota: Quota) -> f64 {
        let requests = self.window_quota(quota);
        requests + (requests * self.overage + self.slack) / 6.0
    }

    /// Returns the requests per second that an organisation may make all the time.
    fn sustained_rate(self, quota: Quota) -> f64 {
        self.window_quota(quota) / self.window.as_secs_f64()
    }

    /// Returns the requests beyond the burst that the unused shares of gateways out of contact add
    /// up to; the rest covers the random differences between them.
    fn share_slack(self) -> f64 {
        self.slack / 4.0
    }
}
