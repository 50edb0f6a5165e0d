//! Sums the demand of a gateway and its followers into reports.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::report::{Demand, QuotaReport};
use super::{CONTACT_TIMEOUT, INTERVAL, MIN_INTERVAL};
use crate::Tick;
use crate::fleet::target::GatewayCount;
use crate::ids::OrganisationName;

/// Requests beyond twice the expected number from which a report is sent early; a smaller number
/// occurs often by chance.
const MIN_UNEXPECTED: f64 = 3.0;
/// Time over which the expected demand is averaged.
const EXPECTATION_TIME: Duration = Duration::from_secs(1);
/// Time after which a credit that no admitted request has offset expires.
const CREDIT_RETENTION: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    demand: Demand,
    /// Requests that were reported as admitted, but that no target has executed.
    credits: u32,
    credited_at: Tick,
    /// Expected requests per second.
    expected: f64,
}

/// Demand since the previous report.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    tallies: BTreeMap<OrganisationName, Tally>,
    followers: HashMap<SocketAddr, (Tick, GatewayCount)>,
    reported_at: Tick,
    is_urgent: bool,
}

impl Collector {
    /// Keeps the demand of these organisations only.
    pub(super) fn retain(&mut self, is_limited: impl Fn(&OrganisationName) -> bool) {
        self.tallies.retain(|name, _| is_limited(name));
    }

    /// Adds demand of an organisation.
    pub(super) fn add(&mut self, organisation: &OrganisationName, demand: Demand) {
        let tally = match self.tallies.get_mut(organisation) {
            Some(tally) => tally,
            None => self.tallies.entry(organisation.clone()).or_default(),
        };
        tally.demand.offered = tally.demand.offered.saturating_add(demand.offered);
        tally.demand.admitted = tally.demand.admitted.saturating_add(demand.admitted);
        let expected = tally.expected * INTERVAL.as_secs_f64();
        self.is_urgent |= f64::from(tally.demand.offered) >= 2.0 * expected + MIN_UNEXPECTED;
    }

    /// Takes back a request of this gateway that was not admitted.
    pub(super) fn retract_offered(&mut self, organisation: &OrganisationName) {
        if let Some(tally) = self.tallies.get_mut(organisation) {
            tally.demand.offered = tally.demand.offered.saturating_sub(1);
        }
    }

    /// Records that an admitted request has not been executed.
    pub(super) fn credit(&mut self, now: Tick, organisation: &OrganisationName) {
        if let Some(tally) = self.tallies.get_mut(organisation) {
            tally.credits += 1;
            tally.credited_at = now;
        }
    }

    /// Records that a follower reported.
    pub(super) fn note_follower(&mut self, now: Tick, follower: SocketAddr, count: GatewayCount) {
        self.followers.insert(follower, (now, count));
    }

    /// Forgets a follower that has disconnected.
    pub(super) fn forget_follower(&mut self, follower: SocketAddr) {
        self.followers.remove(&follower);
    }

    /// Returns whether a report is to be sent now.
    pub(super) fn is_due(&self, now: Tick) -> bool {
        let elapsed = now.since(self.reported_at);
        elapsed >= INTERVAL || self.is_urgent && elapsed >= MIN_INTERVAL
    }

    /// Returns the demand since the previous report.
    pub(super) fn take(&mut self, now: Tick) -> QuotaReport {
        let elapsed = now.since(self.reported_at).as_secs_f64().max(1e-3);
        let weight = (elapsed / EXPECTATION_TIME.as_secs_f64()).min(1.0);
        self.followers.retain(|_, (at, _)| now.since(*at) <= CONTACT_TIMEOUT);
        let counts = self.followers.values().map(|(_, count)| count.get());
        let gateways = counts.fold(1, u32::saturating_add);
        let mut demands = Vec::new();
        for (organisation, tally) in &mut self.tallies {
            let sample = f64::from(tally.demand.offered) / elapsed;
            tally.expected += (sample - tally.expected) * weight;
            if now.since(tally.credited_at) > CREDIT_RETENTION {
                tally.credits = 0;
            }
            let mut demand = std::mem::take(&mut tally.demand);
            let credited = tally.credits.min(demand.admitted);
            tally.credits -= credited;
            demand.admitted -= credited;
            if demand != Demand::default() {
                demands.push((organisation.clone(), demand));
            }
        }
        self.reported_at = now;
        self.is_urgent = false;
        QuotaReport { gateways: GatewayCount(gateways), demands }
    }
}
