//! Token buckets of the gateway that reads the store.

use std::collections::{BTreeMap, VecDeque};

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
/// Time over which the requests that are left in a window are spread, in seconds.
const WINDOW_TIME_S: f64 = 0.5;
/// Part of the quota from which gateways that lose contact must not admit more than before.
const BUSY_PART: f64 = 0.7;
/// Requests in a window, in multiples of the slack, below which a quota is small.
const SMALL_QUOTA_SLACKS: f64 = 5.0;
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
    /// Requests that were admitted in the last window, earliest first.
    admitted: VecDeque<(Tick, f64)>,
    /// Since when admitted requests are known; another root may have admitted some before.
    known_since: Tick,
}

impl Bucket {
    fn new(now: Tick, quota: Quota) -> Self {
        let admitted = VecDeque::new();
        Self { quota, level: 0.0, fast: 0.0, slow: 0.0, sent: 1.0, admitted, known_since: now }
    }

    /// Sets the tokens of a new root: a part of the slack, but none of a burst that may have been
    /// used up before. It covers the requests that callers of a small organisation have held back.
    fn with_tokens(mut self, tokens: f64) -> Self {
        self.level = tokens;
        self
    }

    /// Returns the part of the last window for which admitted requests are known, in 0..=1.
    fn known_part(&self, now: Tick, tolerance: QuotaTolerance) -> f64 {
        now.since(self.known_since).div_duration_f64(tolerance.window).min(1.0)
    }

    /// Returns the rate at which tokens are earned. It rises over the first window, as a
    /// predecessor may have admitted more than the rate before.
    fn earned_rate(&self, now: Tick, share: f64, tolerance: QuotaTolerance) -> f64 {
        let rate = self.quota.rate;
        let extra = tolerance.sustained_rate(self.quota) - rate;
        (rate + extra * self.known_part(now, tolerance)) * share
    }

    /// Earns tokens for `elapsed` seconds, at the given share of the quota.
    fn advance(&mut self, now: Tick, elapsed: f64, share: f64, tolerance: QuotaTolerance) {
        let depth = (self.quota.burst + tolerance.bucket_slack()) * share;
        let earned = self.earned_rate(now, share, tolerance) * elapsed;
        self.level = (self.level + earned).min(depth);
        while self.admitted.front().is_some_and(|(at, _)| now.since(*at) >= tolerance.window) {
            self.admitted.pop_front();
        }
        self.fast *= (-elapsed / FAST_AVERAGE_S).exp();
        self.slow *= (-elapsed / SLOW_AVERAGE_S).exp();
    }

    /// Adds requests to the averages.
    fn note_offered(&mut self, offered: f64) {
        let max = MAX_AVERAGED.max(self.quota.rate * MAX_DEBT_S);
        self.fast = (self.fast + offered).min(max);
        self.slow = (self.slow + offered).min(max);
    }

    /// Adds admitted requests.
    fn note_admitted(&mut self, now: Tick, admitted: f64) {
        self.level = (self.level - admitted).max(-self.quota.rate * MAX_DEBT_S);
        if admitted > 0.0 {
            self.admitted.push_back((now, admitted));
        }
    }

    /// Returns the fraction of requests to admit.
    fn fraction(&self, now: Tick, share: f64, tolerance: QuotaTolerance) -> f64 {
        let offered = (self.fast / FAST_AVERAGE_S).max(self.slow / SLOW_AVERAGE_S);
        let time = if self.level < 0.0 { DEBT_TIME_S } else { BURST_TIME_S };
        let earned = self.earned_rate(now, share, tolerance) + self.level / time;
        let permitted = earned.min(self.left_in_window(now, share, tolerance)).max(0.0);
        if permitted >= offered { 1.0 } else { permitted / offered }
    }

    /// Returns the rate at which the limit of the present window is reached in `WINDOW_TIME_S`.
    ///
    /// The bucket alone would admit the whole burst and a burst spread over the window in the same
    /// window.
    fn left_in_window(&self, now: Tick, share: f64, tolerance: QuotaTolerance) -> f64 {
        let used: f64 = self.admitted.iter().map(|(_, count)| count).sum();
        let leaving = self.admitted.iter().take_while(|(at, _)| {
            now.since(*at).as_secs_f64() > tolerance.window.as_secs_f64() - WINDOW_TIME_S
        });
        let leaving: f64 = leaving.map(|(_, count)| count).sum();
        // Before this root, the quota is taken to have been used up.
        let unknown = tolerance.window_quota(self.quota) * share;
        let unknown_used = unknown * (1.0 - self.known_part(now, tolerance));
        let unknown_leaving = unknown * WINDOW_TIME_S / tolerance.window.as_secs_f64();
        let leaving = leaving + unknown_leaving.min(unknown_used);
        (tolerance.window_limit(self.quota) * share - used - unknown_used + leaving) / WINDOW_TIME_S
    }

    /// Returns whether the demand is a large part of the quota.
    ///
    /// The growth of a small organisation lies within the slack, and its demand varies so much that
    /// most notices would name it.
    fn is_busy(&self, share: f64, tolerance: QuotaTolerance) -> bool {
        let is_small = tolerance.window_quota(self.quota) < SMALL_QUOTA_SLACKS * tolerance.slack;
        !is_small
            && self.slow / SLOW_AVERAGE_S > BUSY_PART * tolerance.sustained_rate(self.quota) * share
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
    pub fn configure(&mut self, now: Tick, organisations: Option<&Organisations>) {
        let quotas: BTreeMap<_, _> =
            organisations.into_iter().flat_map(Organisations::quotas).collect();
        self.buckets.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in quotas {
            match self.buckets.get_mut(name) {
                Some(bucket) => bucket.quota = quota,
                None => {
                    let bucket = Bucket::new(now, quota).with_tokens(self.tolerance.share_slack());
                    self.buckets.insert(name.clone(), bucket);
                }
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
        match elapsed {
            Some(elapsed) if elapsed <= CONTACT_TIMEOUT => {
                for bucket in self.buckets.values_mut() {
                    bucket.advance(now, elapsed.as_secs_f64(), self.share, self.tolerance);
                }
            }
            _ => {
                for bucket in self.buckets.values_mut() {
                    let tokens = self.tolerance.share_slack();
                    *bucket = Bucket::new(now, bucket.quota).with_tokens(tokens);
                }
            }
        }
        for (organisation, demand) in &report.demands {
            let Some(bucket) = self.buckets.get_mut(organisation) else {
                continue;
            };
            bucket.note_admitted(now, f64::from(demand.admitted));
            bucket.note_offered(f64::from(demand.offered));
            let fraction = bucket.fraction(now, self.share, self.tolerance);
            self.is_urgent |= fraction < bucket.sent * URGENT_RATIO;
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
            bucket.sent = bucket.fraction(now, self.share, self.tolerance);
            if bucket.sent < 1.0 || bucket.is_busy(self.share, self.tolerance) {
                let wait_s = bucket.wait_s(self.share);
                let name = organisation.clone();
                notice.limited.push(LimitedOrganisation::new(name, bucket.sent, wait_s));
            }
        }
        Some(notice)
    }
}
