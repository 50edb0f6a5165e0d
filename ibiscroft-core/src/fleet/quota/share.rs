//! Share of a quota that a gateway may use while it is out of contact.

use std::collections::VecDeque;

use crate::Tick;
use crate::fleet::organisation::Quota;

/// Tokens of one organisation at one gateway out of contact.
///
/// A gateway that receives no requests would save a whole token, and the sum over a large fleet
/// would exceed the quota of a small organisation many times. A token is therefore valid only for
/// the time in which the whole fleet earns the burst.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Part of the next token, in 0..1.
    part: f64,
    /// Tokens per second, if more than those of an equal division of the quota.
    own_rate: f64,
    updated_at: Tick,
    /// When the unused tokens were earned, earliest first.
    tokens: VecDeque<Tick>,
}

impl Share {
    /// Creates a share with the given part of a token; if the parts of gateways are evenly
    /// distributed in 0..1, the gateways together earn the quota from the start.
    ///
    /// `own_rate` is the rate at which this gateway admitted requests while it was in contact.
    pub(super) fn new(now: Tick, part: f64, own_rate: f64) -> Self {
        Self { part: part.clamp(0.0, 1.0), own_rate, updated_at: now, tokens: VecDeque::new() }
    }

    /// Takes a token, if there is one; the quota is divided by `gateways`.
    pub(super) fn try_take(&mut self, now: Tick, quota: Quota, slack: f64, gateways: f64) -> bool {
        let rate = (quota.rate / gateways).max(self.own_rate);
        // A quota has a rate above 0.
        let validity = (quota.burst + slack).max(1.0) / quota.rate;
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let mut total = self.part + rate * elapsed;
        // Tokens earned before the oldest valid one do not matter.
        let max_valid = rate * validity + 1.0;
        if total > max_valid + 1.0 {
            total = max_valid.floor() + total.fract();
        }
        self.updated_at = now;
        while total >= 1.0 {
            total -= 1.0;
            let age = std::time::Duration::try_from_secs_f64(total / rate).unwrap_or_default();
            self.tokens.push_back(now.before(age));
        }
        self.part = total;
        while self.tokens.front().is_some_and(|at| now.since(*at).as_secs_f64() > validity) {
            self.tokens.pop_front();
        }
        self.tokens.pop_front().is_some()
    }
}
