//! Limits the requests that a gateway sends to cold targets.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::target::GatewayCount;
use crate::Tick;
use crate::ids::{InstanceName, TargetName};
use crate::rendezvous;

/// Fraction of a target's rate that is assigned when hashing selects the gateways that may send.
/// The number of selected gateways varies by chance, so assigning all of it could exceed the rate.
const ASSIGNED_FRACTION: f64 = 0.75;
/// Window in which requests to a cold target are counted: one second and a margin for requests
/// that arrive late.
const WINDOW: Duration = Duration::from_millis(1_100);

/// One gateway's share of the request rate that a cold target accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTargetQuota {
    /// Maximum number of requests in any period of one second.
    pub per_second: u32,
}

impl ColdTargetQuota {
    /// Returns the quota of the gateway `own` for `target`, if a cold target accepts `rate`
    /// requests per second from all `gateways` together.
    ///
    /// If there are more gateways than requests per second, a subset of the gateways, selected by
    /// hash, gets one request per second each.
    #[must_use]
    pub fn for_gateway(
        rate: f64,
        target: &TargetName,
        own: &InstanceName,
        gateways: GatewayCount,
    ) -> Self {
        let rate = rate.max(0.0);
        let count = f64::from(gateways.get().max(1));
        if count <= rate {
            return Self { per_second: (rate / count) as u32 };
        }
        let hash_fraction =
            rendezvous::weight(target.as_str(), own.as_str()) as f64 / u64::MAX as f64;
        Self { per_second: u32::from(hash_fraction < rate * ASSIGNED_FRACTION / count) }
    }
}

/// Limits the requests of one gateway to cold targets by their quotas.
#[derive(Clone, Debug, Default)]
pub struct ColdTargetLimiter {
    /// Times of recent requests.
    sent: HashMap<TargetName, VecDeque<Tick>>,
}

impl ColdTargetLimiter {
    /// Returns whether the quota allows another request to a cold target.
    #[must_use]
    pub fn allows(&self, now: Tick, target: &TargetName, quota: ColdTargetQuota) -> bool {
        let sent = self.sent.get(target).into_iter().flatten();
        sent.filter(|at| now.since(**at) <= WINDOW).count() < quota.per_second as usize
    }

    /// Records a request to a cold target if the quota allows it; returns whether it does.
    pub fn try_acquire(&mut self, now: Tick, target: &TargetName, quota: ColdTargetQuota) -> bool {
        let sent = self.sent.entry(target.clone()).or_default();
        while sent.front().is_some_and(|at| now.since(*at) > WINDOW) {
            sent.pop_front();
        }
        if sent.len() >= quota.per_second as usize {
            return false;
        }
        sent.push_back(now);
        true
    }

    /// Removes targets without recent requests.
    pub fn expire(&mut self, now: Tick) {
        self.sent.retain(|_, sent| sent.back().is_some_and(|at| now.since(*at) <= WINDOW));
    }
}
