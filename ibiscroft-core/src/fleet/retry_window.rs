//! The fleet's budget of further sends, as one gateway's part of it.

use std::collections::VecDeque;
use std::time::Duration;

use super::target::GatewayCount;
use crate::Tick;

/// Steps that a window is counted in.
const STEPS: u32 = 20;
/// Part of the fleet's budget that is spent; the rest covers gateways with older views.
const SAFETY: f64 = 0.93;

/// Terms of the budget for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Further sends allowed for each request.
    pub ratio: f64,
    /// Further sends allowed in each window without any requests.
    pub floor: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    start: Tick,
    requests: u32,
    retries: u32,
}

/// Further sends of one service at one gateway within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    terms: RetryLimits,
    steps: VecDeque<Step>,
}

impl RetryWindow {
    /// Makes a window without requests.
    #[must_use]
    pub fn new(terms: RetryLimits) -> Self {
        Self { terms, steps: VecDeque::new() }
    }

    /// Counts a request, not its further sends.
    pub fn note_request(&mut self, now: Tick) {
        self.step(now).requests += 1;
    }

    /// Takes a further send if this gateway's part of the budget has room.
    ///
    /// `gateways` share the floor. `reserve` of 0..1 is kept back for more important sends.
    pub fn try_retry(&mut self, now: Tick, gateways: GatewayCount, reserve: f64) -> bool {
        let floor = self.terms.floor / f64::from(gateways.get().max(1));
        self.step(now);
        let window = self.terms.window;
        let is_recent = |step: &&Step| now.since(step.start) <= window;
        let requests: u32 = self.steps.iter().filter(is_recent).map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let allowed = (f64::from(requests) * self.terms.ratio + floor) * SAFETY * (1.0 - reserve);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    fn step(&mut self, now: Tick) -> &mut Step {
        let window = self.terms.window;
        // A step that began before the window may hold further sends that lie within it.
        let kept = window + window / STEPS;
        while self.steps.front().is_some_and(|step| now.since(step.start) > kept) {
            self.steps.pop_front();
        }
        let is_current =
            self.steps.back().is_some_and(|step| now.since(step.start) < window / STEPS);
        if !is_current {
            self.steps.push_back(Step { start: now, requests: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
