//! Times, kinds and work of calls, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mix::{CallKind, WorkDistribution};
use super::options::LoadOptions;

/// A call of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedCall {
    /// Number of the call in the run, from 0.
    pub number: u64,
    /// Planned time since the start of the run.
    pub at: Duration,
    /// Index of the kind in [`LoadOptions::mix`].
    pub kind: usize,
    /// Work at the backend server, in milliseconds.
    pub work_ms: f64,
}

/// Sequence of calls with exponentially distributed gaps.
#[derive(Clone, Debug)]
pub struct Plan {
    rng: SmallRng,
    rate: f64,
    end: Duration,
    max_calls: u64,
    mix: Vec<CallKind>,
    number: u64,
    at: Duration,
}

impl Plan {
    /// Creates the plan of a run.
    #[must_use]
    pub fn new(options: &LoadOptions) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            rate: options.rate,
            end: options.duration,
            max_calls: options.max_calls,
            mix: options.mix.clone(),
            number: 0,
            at: Duration::ZERO,
        }
    }

    /// Draws from the exponential distribution with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = self.rng.random();
        -(1.0 - unit).ln() * mean
    }

    /// Draws the index of a kind by weight.
    fn kind(&mut self) -> usize {
        let total: f64 = self.mix.iter().map(|kind| kind.weight).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (index, kind) in self.mix.iter().enumerate() {
            remaining -= kind.weight;
            if remaining < 0.0 {
                return index;
            }
        }
        self.mix.len() - 1
    }

    fn work_ms(&mut self, kind: usize) -> f64 {
        let mean = self.mix[kind].work_ms;
        match self.mix[kind].work {
            WorkDistribution::Fixed => mean,
            WorkDistribution::Exponential => self.exponential(mean),
        }
    }
}

impl Iterator for Plan {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        let gap = self.exponential(1.0 / self.rate);
        self.at += Duration::from_secs_f64(gap);
        if self.at >= self.end || self.number >= self.max_calls {
            return None;
        }
        let kind = self.kind();
        let work_ms = self.work_ms(kind);
        let planned = PlannedCall { number: self.number, at: self.at, kind, work_ms };
        self.number += 1;
        Some(planned)
    }
}
