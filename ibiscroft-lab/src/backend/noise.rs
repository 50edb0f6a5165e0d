//! Random slowdowns, as by noisy neighbours on a shared machine.

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
    /// Factor on work that begins in a slowdown.
    pub factor: f64,
}

impl Default for NoiseOptions {
    fn default() -> Self {
        Self { every: Duration::ZERO, duration: Duration::ZERO, factor: 1.0 }
    }
}

/// Slowdowns with exponentially distributed gaps.
#[derive(Clone, Debug)]
pub struct Noise {
    options: NoiseOptions,
    rng: SmallRng,
    starts_at: Tick,
}

impl Noise {
    /// Slowdowns drawn from `seed`.
    #[must_use]
    pub fn new(options: NoiseOptions, seed: u64) -> Self {
        let mut noise = Self { options, rng: SmallRng::seed_from_u64(seed), starts_at: Tick::ZERO };
        noise.starts_at = Tick::ZERO + noise.gap();
        noise
    }

    /// Returns the factor on work that begins now.
    pub fn factor(&mut self, now: Tick) -> f64 {
        if self.options.every.is_zero() {
            return 1.0;
        }
        while self.starts_at + self.options.duration <= now {
            self.starts_at = self.starts_at + self.options.duration + self.gap();
        }
        if self.starts_at <= now { self.options.factor } else { 1.0 }
    }

    fn gap(&mut self) -> Duration {
        let unit: f64 = self.rng.random();
        self.options.every.mul_f64(-(1.0 - unit).ln())
    }
}
