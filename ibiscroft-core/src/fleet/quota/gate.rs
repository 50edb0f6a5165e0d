//! Decision of a gateway about each request of an organisation with a quota.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::collector::Collector;
use super::report::{Demand, QuotaNotice, QuotaReport};
use super::share::Share;
use super::{CONTACT_TIMEOUT, QuotaTolerance};
use crate::Tick;
use crate::fleet::organisation::{Organisations, Quota};
use crate::fleet::target::GatewayCount;
use crate::ids::OrganisationName;

/// Shortest delay of a retry over quota; below it the round trips of retries cost more than they
/// gain.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay of a retry over quota.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Shortest delay of a retry at a gateway that is out of contact; another one may admit it.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Jitter that is added to `UNKNOWN_RETRY_DELAY`.
const UNKNOWN_RETRY_JITTER: Duration = Duration::from_millis(100);

/// Age of the last notice from which a sudden rise of demand is not admitted; a notice that takes
/// such a rise into account arrives earlier from a root that is in contact.
const LATE_NOTICE_AGE: Duration = Duration::from_millis(400);
/// Admitted requests since a late notice that are never regarded as a rise.
const MIN_RISE: f64 = 3.0;
/// Time over which the expected number of admitted requests is averaged.
const EXPECTATION_TIME: Duration = Duration::from_secs(1);

/// Time over which the admitted requests are averaged that a gateway goes on to admit without
/// contact; long enough to see the callers of small organisations.
const RECENT_TIME: Duration = Duration::from_secs(8);
/// Growth of the admitted requests without contact, for organisations that use less than
/// `BUSY_PART` of their quota.
const IDLE_GROWTH: f64 = 1.4;

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The organisation has no limit.
    Unlimited,
    /// The request is within the limit and has been counted.
    Admitted,
    /// The organisation exceeds its limit.
    OverQuota {
        /// Fraction of the organisation's requests that is admitted.
        fraction: f64,
        /// When the caller may retry.
        retry_after: Duration,
    },
    /// This gateway is out of contact and has used up its share; others may admit the request.
    Unknown {
        /// When the caller may retry.
        retry_after: Duration,
    },
}

/// What a gateway knows about an organisation with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// The limit.
    pub quota: Quota,
    /// Fraction of the requests that is admitted according to the root.
    pub fraction: f64,
    /// Requests at this gateway since it started.
    pub offered: u64,
    /// Admitted requests at this gateway since it started.
    pub admitted: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    quota: Quota,
    fraction: f64,
    wait: Duration,
    /// Sum of the fractions of requests since the last admitted one; `None` before the first
    /// request. It starts at random, so that gateways do not admit at the same time.
    accumulator: Option<f64>,
    /// In use while the gateway is out of contact.
    share: Option<Share>,
    /// Admitted requests since the last notice.
    since_notice: f64,
    /// Expected admitted requests per second.
    expected: f64,
    /// Admitted requests, decaying with `RECENT_TIME`.
    recent: f64,
    recent_at: Tick,
    /// Whether the root states that the organisation uses much of its quota.
    is_busy: bool,
    offered: u64,
    admitted: u64,
}

impl Entry {
    fn new(quota: Quota) -> Self {
        Self {
            quota,
            fraction: 1.0,
            wait: Duration::ZERO,
            accumulator: None,
            share: None,
            since_notice: 0.0,
            expected: 0.0,
            recent: 0.0,
            recent_at: Tick::ZERO,
            is_busy: false,
            offered: 0,
            admitted: 0,
        }
    }

    /// Counts an admitted request.
    fn note_admitted(&mut self, now: Tick) {
        let elapsed = now.since(self.recent_at).as_secs_f64();
        self.recent = self.recent * (-elapsed / RECENT_TIME.as_secs_f64()).exp() + 1.0;
        self.recent_at = now;
        self.admitted += 1;
    }

    /// Returns the requests per second that this gateway may go on to admit without contact.
    ///
    /// All gateways together admit no more than the quota then: what they admitted before, if the
    /// organisation uses much of its quota, and otherwise `IDLE_GROWTH` of it.
    fn own_rate(&self, now: Tick) -> f64 {
        let elapsed = now.since(self.recent_at).as_secs_f64();
        let recent = self.recent * (-elapsed / RECENT_TIME.as_secs_f64()).exp();
        let growth = if self.is_busy { 1.0 } else { IDLE_GROWTH };
        recent / RECENT_TIME.as_secs_f64() * growth
    }

    /// Returns whether more requests than expected were admitted since the last notice, which is
    /// late. The contact with the root may then be lost, and the root unaware of the demand.
    fn is_unnoticed_rise(&self, notice_age: Duration) -> bool {
        let expected = 2.0 * self.expected * notice_age.as_secs_f64();
        notice_age > LATE_NOTICE_AGE && self.since_notice > expected + MIN_RISE
    }

    /// Starts to count admitted requests anew when a notice arrives `elapsed` after the last one.
    fn note_notice(&mut self, elapsed: Duration) {
        let weight = elapsed.div_duration_f64(EXPECTATION_TIME).min(1.0);
        let sample = self.since_notice / elapsed.as_secs_f64().max(1e-3);
        self.expected += (sample - self.expected) * weight;
        self.since_notice = 0.0;
    }

    /// Admits the fraction of requests that the root determined in a notice of this age.
    fn admit_fraction(&mut self, notice_age: Duration, random: f64) -> QuotaDecision {
        self.share = None;
        if self.is_unnoticed_rise(notice_age) {
            return unknown(random);
        }
        let sum = self.accumulator.unwrap_or(random) + self.fraction;
        if sum >= 1.0 {
            self.accumulator = Some((sum - 1.0).min(1.0));
            self.since_notice += 1.0;
            return QuotaDecision::Admitted;
        }
        self.accumulator = Some(sum);
        let delay = self.wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        QuotaDecision::OverQuota {
            fraction: self.fraction,
            retry_after: delay.mul_f64(1.0 + random.clamp(0.0, 1.0)),
        }
    }

    /// Admits requests within this gateway's share.
    fn admit_share(
        &mut self,
        now: Tick,
        tolerance: QuotaTolerance,
        gateways: f64,
        random: f64,
    ) -> QuotaDecision {
        let slack = tolerance.share_slack();
        let sustained_rate = tolerance.sustained_rate(self.quota);
        let own_rate = self.own_rate(now);
        let is_known = own_rate > sustained_rate / gateways;
        let part = if is_known { 1.0 } else { random };
        let share = self.share.get_or_insert_with(|| Share::new(now, part, own_rate));
        let quota = Quota { rate: sustained_rate, burst: self.quota.burst };
        if share.try_take(now, quota, slack, gateways) {
            return QuotaDecision::Admitted;
        }
        unknown(random)
    }
}

/// Returns the decision on a request that another gateway may admit.
fn unknown(random: f64) -> QuotaDecision {
    let jitter = UNKNOWN_RETRY_JITTER.mul_f64(random.clamp(0.0, 1.0));
    QuotaDecision::Unknown { retry_after: UNKNOWN_RETRY_DELAY + jitter }
}

/// Admits requests of organisations with a limit, and collects the demand that is reported to the
/// root.
#[derive(Clone, Debug)]
pub struct QuotaGate {
    tolerance: QuotaTolerance,
    entries: BTreeMap<OrganisationName, Entry>,
    collector: Collector,
    noticed_at: Option<Tick>,
}

impl QuotaGate {
    /// Creates a gate without limits that is out of contact.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            entries: BTreeMap::new(),
            collector: Collector::default(),
            noticed_at: None,
        }
    }

    /// Takes over the limits of a configuration.
    pub fn configure(&mut self, organisations: Option<&Organisations>) {
        let quotas: BTreeMap<_, _> =
            organisations.into_iter().flat_map(Organisations::quotas).collect();
        self.entries.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in quotas {
            match self.entries.get_mut(name) {
                Some(entry) => entry.quota = quota,
                None => drop(self.entries.insert(name.clone(), Entry::new(quota))),
            }
        }
        let entries = &self.entries;
        self.collector.retain(|name| entries.contains_key(name));
    }

    /// Returns whether any organisation has a limit; nothing is sent otherwise.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Returns whether the gateway has had a notice recently.
    #[must_use]
    pub fn is_connected(&self, now: Tick) -> bool {
        self.noticed_at.is_some_and(|at| now.since(at) <= CONTACT_TIMEOUT)
    }

    /// Decides about a request and counts it; `random` in 0..1 sets the jitter.
    ///
    /// `gateways` is the number of gateways in the fleet.
    pub fn admit(
        &mut self,
        now: Tick,
        organisation: &OrganisationName,
        gateways: GatewayCount,
        random: f64,
    ) -> QuotaDecision {
        let notice_age = self.noticed_at.map(|at| now.since(at));
        let Some(entry) = self.entries.get_mut(organisation) else {
            return QuotaDecision::Unlimited;
        };
        let decision = match notice_age {
            Some(age) if age <= CONTACT_TIMEOUT => entry.admit_fraction(age, random),
            _ => {
                let gateways = f64::from(gateways.get().max(1));
                entry.admit_share(now, self.tolerance, gateways, random)
            }
        };
        let admitted = u32::from(decision == QuotaDecision::Admitted);
        entry.offered += 1;
        if admitted > 0 {
            entry.note_admitted(now);
        }
        self.collector.add(organisation, Demand { offered: 1, admitted });
        decision
    }

    /// Takes back the count of a rejected request that is decided about once more.
    pub fn retract_offered(&mut self, organisation: &OrganisationName) {
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.offered = entry.offered.saturating_sub(1);
            self.collector.retract_offered(organisation);
        }
    }

    /// Credits an admitted request that no target has executed.
    pub fn give_back(&mut self, now: Tick, organisation: &OrganisationName) {
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.admitted = entry.admitted.saturating_sub(1);
            self.collector.credit(now, organisation);
        }
    }

    /// Adds the report of a follower.
    ///
    /// Demand of organisations without a limit is ignored.
    pub fn on_report(&mut self, now: Tick, follower: SocketAddr, report: &QuotaReport) {
        if !self.is_in_use() {
            return;
        }
        self.collector.note_follower(now, follower, report.gateways);
        for (organisation, demand) in &report.demands {
            if self.entries.contains_key(organisation) {
                self.collector.add(organisation, *demand);
            }
        }
    }

    /// Forgets a follower that has disconnected.
    pub fn forget_follower(&mut self, follower: SocketAddr) {
        self.collector.forget_follower(follower);
    }

    /// Returns the report for the source if it is to be sent now; it also contains the demand of
    /// the followers.
    pub fn take_report(&mut self, now: Tick) -> Option<QuotaReport> {
        (self.is_in_use() && self.collector.is_due(now)).then(|| self.collector.take(now))
    }

    /// Returns the demand since the previous report at once, for the ledger of this gateway.
    pub fn take_demand(&mut self, now: Tick) -> QuotaReport {
        self.collector.take(now)
    }

    /// Takes over the fractions of a notice of the root.
    pub fn on_notice(&mut self, now: Tick, notice: &QuotaNotice) {
        let elapsed = self.noticed_at.map_or(CONTACT_TIMEOUT, |at| now.since(at));
        self.noticed_at = Some(now);
        for entry in self.entries.values_mut() {
            entry.note_notice(elapsed);
            entry.fraction = 1.0;
            entry.is_busy = false;
        }
        for limited in &notice.limited {
            if let Some(entry) = self.entries.get_mut(&limited.organisation) {
                entry.fraction = limited.fraction();
                entry.is_busy = true;
                entry.wait = Duration::from_millis(limited.wait_ms.into());
            }
        }
    }

    /// Returns what is known about each organisation with a limit.
    pub fn status(&self) -> impl Iterator<Item = (&OrganisationName, QuotaStatus)> {
        self.entries.iter().map(|(name, entry)| {
            let Entry { quota, fraction, offered, admitted, .. } = *entry;
            (name, QuotaStatus { quota, fraction, offered, admitted })
        })
    }
}
