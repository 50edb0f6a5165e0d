//! Random slowdowns, as caused by noisy neighbours on a shared machine.

use std::collections::VecDeque;
use std::time::Duration;

use ibiscroft_core::Tick;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval, length and strength of random slowdowns; a zero interval means no slowdowns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoiseOptions {
    /// Mean time between the end of a slowdown and the start of the next.
    pub every: Duration,
    /// Length of a slowdown.
    pub duration: Duration,
    /// Factor on the duration of work during a slowdown.
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

/// Sequence of slowdowns with exponentially distributed gaps.
#[derive(Clone, Debug)]
pub struct Noise {
    options: NoiseOptions,
    rng: SmallRng,
    drawn_until: Tick,
    upcoming: VecDeque<Slowdown>,
}

impl Noise {
    /// Creates slowdowns that are drawn from `seed`.
    #[must_use]
    pub fn new(options: NoiseOptions, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { options, rng, drawn_until: Tick::ZERO, upcoming: VecDeque::new() }
    }

    /// Returns the duration of work that starts at `now` and takes `work` without slowdowns.
    pub fn work_duration(&mut self, now: Tick, work: Duration) -> Duration {
        if self.options.every.is_zero() {
            return work;
        }
        while self.upcoming.front().is_some_and(|slowdown| slowdown.end <= now) {
            self.upcoming.pop_front();
        }
        let mut at = now;
        let mut remaining = work;
        let mut index = 0;
        loop {
            let Slowdown { start, end } = self.slowdown(index);
            let until_slowdown = start.since(at);
            if remaining <= until_slowdown {
                return (at + remaining).since(now);
            }
            remaining -= until_slowdown;
            at = at.max(start);
            let progress = end.since(at).div_f64(self.options.factor);
            if remaining <= progress {
                return (at + remaining.mul_f64(self.options.factor)).since(now);
            }
            remaining -= progress;
            at = end;
            index += 1;
        }
    }

    /// Returns the upcoming slowdown at `index`, and draws slowdowns up to it as needed.
    fn slowdown(&mut self, index: usize) -> Slowdown {
        while self.upcoming.len() <= index {
            let start = self.drawn_until + self.gap();
            let end = start + self.options.duration;
            self.drawn_until = end;
            self.upcoming.push_back(Slowdown { start, end });
        }
        self.upcoming[index]
    }

    /// Draws the time until the next slowdown.
    fn gap(&mut self) -> Duration {
        let unit: f64 = self.rng.random();
        self.options.every.mul_f64(-(1.0 - unit).ln())
    }
}
