//! Requests to cold targets: each gateway's part of what one bears.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::target::GatewayCount;
use crate::Tick;
use crate::ids::{InstanceName, TargetName};
use crate::rendezvous;

/// Part of the rate by which gateways are chosen; their number varies about it by chance.
const CHOSEN_PART: f64 = 0.75;
/// Span in which requests to a cold target are counted, with room for late arrivals.
const SPAN: Duration = Duration::from_millis(1_100);

/// One gateway's part of the requests that a cold target bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTargetQuota {
    /// Requests in any span of a second.
    pub per_second: u32,
}

impl ColdTargetQuota {
    /// Returns the part of `own` of the `rate` that a cold target bears from `gateways`.
    ///
    /// With more gateways than requests, a part of them chosen by hash gets one each.
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
        let place = rendezvous::weight(target.as_str(), own.as_str()) as f64 / u64::MAX as f64;
        Self { per_second: u32::from(place < rate * CHOSEN_PART / count) }
    }
}

/// Requests that one gateway sent to cold targets lately.
#[derive(Clone, Debug, Default)]
pub struct ColdTargetLimiter {
    sent: HashMap<TargetName, VecDeque<Tick>>,
}

impl ColdTargetLimiter {
    /// Returns whether the share has room for a request to a cold target.
    #[must_use]
    pub fn allows(&self, now: Tick, target: &TargetName, share: ColdTargetQuota) -> bool {
        let sent = self.sent.get(target).into_iter().flatten();
        sent.filter(|at| now.since(**at) <= SPAN).count() < share.per_second as usize
    }

    /// Takes a request to a cold target if the share has room.
    pub fn try_acquire(&mut self, now: Tick, target: &TargetName, share: ColdTargetQuota) -> bool {
        let sent = self.sent.entry(target.clone()).or_default();
        while sent.front().is_some_and(|at| now.since(*at) > SPAN) {
            sent.pop_front();
        }
        if sent.len() >= share.per_second as usize {
            return false;
        }
        sent.push_back(now);
        true
    }

    /// Forgets targets without recent requests.
    pub fn expire(&mut self, now: Tick) {
        self.sent.retain(|_, sent| sent.back().is_some_and(|at| now.since(*at) <= SPAN));
    }
}
