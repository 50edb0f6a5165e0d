//! Token buckets of the gateway that reads the store.

use std::collections::BTreeMap;

use super::report::{LimitedOrganisation, QuotaNotice, QuotaReport};
use super::{CONTACT_TIMEOUT, INTERVAL, MIN_INTERVAL, QuotaTolerance};
use crate::Tick;
use crate::fleet::organisation::{Organisations, Quota};
use crate::fleet::target::GatewayCount;
use crate::ids::OrganisationName;

/// Time over which a rise of demand is averaged, in seconds; at least the interval of reports.
const FAST_AVERAGE_S: f64 = 0.25;
/// Time over which steady demand is averaged, in seconds.
const SLOW_AVERAGE_S: f64 = 1.0;
/// Time in which a debt is repaid, in seconds; well above the delay from a request to the notice
/// that takes it into account.
const DEBT_TIME_S: f64 = 1.0;
/// Time in which the tokens of a bucket are offered, in seconds. An organisation that suddenly sends
/// several times its rate can thus use its burst before requests are rejected.
const BURST_TIME_S: f64 = 0.5;
/// Ratio of a fraction to the one sent last below which a notice is sent early.
const URGENT_RATIO: f64 = 0.8;
/// Time for which a debt is kept at most, in seconds; a wrong report thus blocks an organisation
/// only for that long.
const MAX_DEBT_S: f64 = 5.0;
/// Requests up to which demand is averaged; a wrong report thus distorts the average only for some
/// seconds.
const MAX_AVERAGED: f64 = 10_000.0;

#[derive(Clone, Debug)]
struct Bucket {
    quota: Quota,
    /// Tokens; negative if more requests were admitted than earned.
    level: f64,
    /// Requests, decaying with `FAST_AVERAGE_S`.
    fast: f64,
    /// Requests, decaying with `SLOW_AVERAGE_S`.
    slow: f64,
    /// Fraction in the last notice.
    sent: f64,
}

impl Bucket {
    fn new(quota: Quota) -> Self {
        Self { quota, level: 0.0, fast: 0.0, slow: 0.0, sent: 1.0 }
    }

    /// Earns tokens for `elapsed` seconds, at the given share of the quota.
    fn advance(&mut self, elapsed: f64, share: f64, slack: f64) {
        let depth = (self.quota.burst + slack) * share;
        self.level = (self.level + self.quota.rate * share * elapsed).min(depth);
        self.fast *= (-elapsed / FAST_AVERAGE_S).exp();
        self.slow *= (-elapsed / SLOW_AVERAGE_S).exp();
    }

    /// Adds requests to the averages.
    fn note_offered(&mut self, offered: f64) {
        let max = MAX_AVERAGED.max(self.quota.rate * MAX_DEBT_S);
        self.fast = (self.fast + offered).min(max);
        self.slow = (self.slow + offered).min(max);
    }

    /// Returns the fraction of requests to admit.
    fn fraction(&self, share: f64) -> f64 {
        let offered = (self.fast / FAST_AVERAGE_S).max(self.slow / SLOW_AVERAGE_S);
        let time = if self.level < 0.0 { DEBT_TIME_S } else { BURST_TIME_S };
        let permitted = (self.quota.rate * share + self.level / time).max(0.0);
        if permitted >= offered { 1.0 } else { permitted / offered }
    }

    /// Returns the time until a token is expected, in seconds.
    fn wait_s(&self, share: f64) -> f64 {
        (-self.level).max(1.0) / (self.quota.rate * share)
    }
}

/// Derives the fraction of requests to admit for each organisation from the demand of the fleet.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    tolerance: QuotaTolerance,
    buckets: BTreeMap<OrganisationName, Bucket>,
    updated_at: Option<Tick>,
    noticed_at: Tick,
    /// Part of the fleet that reports to this ledger, in 0..=1.
    share: f64,
    is_urgent: bool,
}

impl QuotaLedger {
    /// Creates a ledger without limits.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            buckets: BTreeMap::new(),
            updated_at: None,
            noticed_at: Tick::ZERO,
            share: 0.0,
            is_urgent: false,
        }
    }

    /// Takes over the limits of a configuration; the next notice is sent early.
    pub fn configure(&mut self, organisations: Option<&Organisations>) {
        let quotas: BTreeMap<_, _> =
            organisations.into_iter().flat_map(Organisations::quotas).collect();
        self.buckets.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in quotas {
            match self.buckets.get_mut(name) {
                Some(bucket) => bucket.quota = quota,
                None => drop(self.buckets.insert(name.clone(), Bucket::new(quota))),
            }
        }
        self.is_urgent = true;
    }

    /// Takes over the demand of all gateways that report to this one, itself included, in a fleet
    /// of `fleet` gateways.
    ///
    /// After a pause, as when the process was suspended, another root may have been in charge; the
    /// buckets then start empty, as those of a new root do.
    pub fn on_report(&mut self, now: Tick, fleet: GatewayCount, report: &QuotaReport) {
        let elapsed = self.updated_at.map(|at| now.since(at));
        self.updated_at = Some(now);
        let fleet = f64::from(fleet.get().max(1));
        self.share = (f64::from(report.gateways.get()) / fleet).min(1.0);
        let slack = self.tolerance.bucket_slack();
        match elapsed {
            Some(elapsed) if elapsed <= CONTACT_TIMEOUT => {
                for bucket in self.buckets.values_mut() {
                    bucket.advance(elapsed.as_secs_f64(), self.share, slack);
                }
            }
            _ => {
                for bucket in self.buckets.values_mut() {
                    *bucket = Bucket::new(bucket.quota);
                }
            }
        }
        for (organisation, demand) in &report.demands {
            let Some(bucket) = self.buckets.get_mut(organisation) else {
                continue;
            };
            let max_debt = bucket.quota.rate * MAX_DEBT_S;
            bucket.level = (bucket.level - f64::from(demand.admitted)).max(-max_debt);
            bucket.note_offered(f64::from(demand.offered));
            self.is_urgent |= bucket.fraction(self.share) < bucket.sent * URGENT_RATIO;
        }
    }

    /// Returns the notice for all gateways if it is to be sent now.
    pub fn notice(&mut self, now: Tick) -> Option<QuotaNotice> {
        let elapsed = now.since(self.noticed_at);
        let is_due = elapsed >= INTERVAL || self.is_urgent && elapsed >= MIN_INTERVAL;
        if self.buckets.is_empty() || self.updated_at.is_none() || !is_due {
            return None;
        }
        self.noticed_at = now;
        self.is_urgent = false;
        let mut notice = QuotaNotice::default();
        for (organisation, bucket) in &mut self.buckets {
            bucket.sent = bucket.fraction(self.share);
            if bucket.sent < 1.0 {
                let wait_s = bucket.wait_s(self.share);
                let name = organisation.clone();
                notice.limited.push(LimitedOrganisation::new(name, bucket.sent, wait_s));
            }
        }
        Some(notice)
    }
}
