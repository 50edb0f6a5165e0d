//! Measures both errors of quotas: requests over the bound, and rejections below the limit.

use ibiscroft_core::fleet::Quota;

/// Length of a step of the count, in milliseconds.
const STEP_MS: u64 = 20;
/// Steps in the window of the bound: 5 s.
const WINDOW_STEPS: usize = 250;
/// Length of the window, in seconds.
const WINDOW_S: f64 = 5.0;
/// Allowed requests over the quota, as a fraction of it.
const OVERAGE: f64 = 0.1;
/// Allowed requests over the quota in addition.
const SLACK: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    offered: u32,
    executed: u32,
    rejected: u32,
}

/// Requests of one organisation over time.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Quota from each time on, in milliseconds; the first entry is in effect from the start.
    quotas: Vec<(u64, Quota)>,
    steps: Vec<Step>,
}

/// Both errors, and how much was offered and executed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Verdict {
    /// Largest number of requests over the bound in any window.
    pub(super) over: f64,
    /// Largest part of the bound that was used in any window.
    pub(super) used: f64,
    /// Requests.
    pub(super) offered: u64,
    /// Requests that targets executed.
    pub(super) executed: u64,
    /// Requests offered while the demand was within rate and burst.
    pub(super) within: u64,
    /// Those of them that were rejected.
    pub(super) lost: u64,
}

impl Verdict {
    /// Adds the verdict on another organisation.
    pub(super) fn add(&mut self, other: &Self) {
        self.over = self.over.max(other.over);
        self.used = self.used.max(other.used);
        self.offered += other.offered;
        self.executed += other.executed;
        self.within += other.within;
        self.lost += other.lost;
    }

    /// Returns the rejected part of the requests within the limit.
    pub(super) fn lost_part(&self) -> f64 {
        self.lost as f64 / self.within.max(1) as f64
    }
}

impl Record {
    pub(super) fn new(quota: Quota) -> Self {
        Self { quotas: vec![(0, quota)], steps: Vec::new() }
    }

    /// Changes the quota at `now_ms`.
    pub(super) fn change_quota(&mut self, now_ms: u64, quota: Quota) {
        self.quotas.push((now_ms, quota));
    }

    pub(super) fn quota(&self) -> Quota {
        self.quotas[self.quotas.len() - 1].1
    }

    /// Counts a request.
    pub(super) fn offer(&mut self, now_ms: u64, is_admitted: bool) {
        let step = self.step(now_ms);
        step.offered += 1;
        step.executed += u32::from(is_admitted);
        step.rejected += u32::from(!is_admitted);
    }

    /// Records that a request admitted at `at_ms` was not executed.
    pub(super) fn withdraw(&mut self, at_ms: u64) {
        self.step(at_ms).executed -= 1;
    }

    fn step(&mut self, now_ms: u64) -> &mut Step {
        let index = (now_ms / STEP_MS) as usize;
        if self.steps.len() <= index {
            self.steps.resize(index + 1, Step::default());
        }
        &mut self.steps[index]
    }

    /// Returns the quota that bounds the window before step `end`: the highest one in effect in the
    /// window or, as a lower one takes effect within one window, in the window before.
    fn bounding_quota(&self, end: usize) -> Quota {
        let from_ms = (end.saturating_sub(2 * WINDOW_STEPS) as u64) * STEP_MS;
        let until_ms = end as u64 * STEP_MS;
        let mut highest = Quota { rate: 0.0, burst: 0.0 };
        for (index, (at_ms, quota)) in self.quotas.iter().enumerate() {
            let ended = self.quotas.get(index + 1).is_some_and(|next| next.0 <= from_ms);
            if !ended && *at_ms < until_ms && quota.rate > highest.rate {
                highest = *quota;
            }
        }
        highest
    }

    /// Returns whether in no window of up to 5 s that ends with `step` more was offered than rate
    /// and burst allow.
    fn is_within(&self, step: usize) -> bool {
        let at_ms = step as u64 * STEP_MS;
        let quota = self.quotas.iter().rev().find(|(from, _)| *from <= at_ms).unwrap().1;
        let mut offered = 0;
        for length in 1..=WINDOW_STEPS.min(step + 1) {
            offered += self.steps[step + 1 - length].offered;
            let seconds = length as f64 * STEP_MS as f64 / 1e3;
            if f64::from(offered) > quota.rate * seconds + quota.burst {
                return false;
            }
        }
        true
    }

    /// Judges the requests since `from_ms`.
    pub(super) fn verdict(&self, from_ms: u64) -> Verdict {
        let mut verdict = Verdict::default();
        let mut in_window = 0;
        for (index, step) in self.steps.iter().enumerate() {
            in_window += step.executed;
            if index >= WINDOW_STEPS {
                in_window -= self.steps[index - WINDOW_STEPS].executed;
            }
            let quota = self.bounding_quota(index + 1);
            let bound = (quota.rate * WINDOW_S + quota.burst) * (1.0 + OVERAGE) + SLACK;
            verdict.over = verdict.over.max(f64::from(in_window) - bound);
            verdict.used = verdict.used.max(f64::from(in_window) / bound);
            if (index as u64) * STEP_MS < from_ms {
                continue;
            }
            verdict.offered += u64::from(step.offered);
            verdict.executed += u64::from(step.executed);
            if step.offered > 0 && self.is_within(index) {
                verdict.within += u64::from(step.offered);
                verdict.lost += u64::from(step.rejected);
            }
        }
        verdict.over = verdict.over.max(0.0);
        verdict
    }
}
