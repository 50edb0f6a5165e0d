//! Random slowdowns, as by noisy neighbours on a shared machine.

use std::collections::VecDeque;
use std::time::Duration;

use ibiscroft_core::Tick;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How often, how long and how much a server slows down; a zero interval means never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoiseOptions {
    /// Mean time between the starts of slowdowns.
    pub every: Duration,
    /// Length of a slowdown.
    pub duration: Duration,
    /// How many times longer work takes in a slowdown.
    pub factor: f64,
}

impl Default for NoiseOptions {
    fn default() -> Self {
        Self { every: Duration::ZERO, duration: Duration::ZERO, factor: 1.0 }
    }
}

/// One slowdown.
#[derive(Clone, Copy, Debug)]
struct Slowdown {
    start: Tick,
    end: Tick,
}

/// Slowdowns with exponentially distributed gaps.
#[derive(Clone, Debug)]
pub struct Noise {
    options: NoiseOptions,
    rng: SmallRng,
    drawn_until: Tick,
    ahead: VecDeque<Slowdown>,
}

impl Noise {
    /// Slowdowns drawn from `seed`.
    #[must_use]
    pub fn new(options: NoiseOptions, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { options, rng, drawn_until: Tick::ZERO, ahead: VecDeque::new() }
    }

    /// Returns how long work takes that needs `work` on a server without slowdowns.
    pub fn span(&mut self, now: Tick, work: Duration) -> Duration {
        if self.options.every.is_zero() {
            return work;
        }
        while self.ahead.front().is_some_and(|slowdown| slowdown.end <= now) {
            self.ahead.pop_front();
        }
        let mut at = now;
        let mut left = work;
        let mut index = 0;
        loop {
            let Slowdown { start, end } = self.slowdown(index);
            let undisturbed = start.since(at);
            if left <= undisturbed {
                return (at + left).since(now);
            }
            left -= undisturbed;
            at = at.max(start);
            let progress = end.since(at).div_f64(self.options.factor);
            if left <= progress {
                return (at + left.mul_f64(self.options.factor)).since(now);
            }
            left -= progress;
            at = end;
            index += 1;
        }
    }

    /// Returns the slowdown at `index` of those ahead, and draws it when it is the next.
    fn slowdown(&mut self, index: usize) -> Slowdown {
        while self.ahead.len() <= index {
            let start = self.drawn_until + self.gap();
            let end = start + self.options.duration;
            self.drawn_until = end;
            self.ahead.push_back(Slowdown { start, end });
        }
        self.ahead[index]
    }

    fn gap(&mut self) -> Duration {
        let unit: f64 = self.rng.random();
        self.options.every.mul_f64(-(1.0 - unit).ln())
    }
}
