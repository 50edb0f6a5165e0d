//! Random demand of organisations on a simulated clock.

use ibiscroft_core::fleet::Quota;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Number of organisations.
pub(super) const ORGANISATIONS: usize = 85;
/// Usual requests per second of all organisations together.
const TOTAL_RATE: f64 = 924.0;
/// Exponent of the distribution of their sizes.
const ZIPF_EXPONENT: f64 = 1.2;
/// Ratio of the rate of a quota to the usual demand.
const HEADROOM: f64 = 1.6;
/// Usual requests per second that one gateway receives from an organisation at most.
const RATE_PER_GATEWAY: f64 = 5.0;
/// Smallest number of gateways that an organisation uses.
const MIN_GATEWAYS: usize = 3;

/// Demand of one organisation.
#[derive(Clone, Debug)]
pub(super) struct Organisation {
    /// Usual requests per second.
    pub(super) usual: f64,
    /// Factor of the usual demand at present.
    pub(super) factor: f64,
    /// Whether the gateways in use change every second.
    pub(super) moves: bool,
    /// Gateways in use.
    pub(super) gateways: Vec<usize>,
}

impl Organisation {
    /// Returns organisation `index`, the largest being 0, which uses some of `gateways`.
    pub(super) fn new(index: usize, gateways: usize, rng: &mut SmallRng) -> Self {
        let weight = |rank: usize| ((rank + 1) as f64).powf(-ZIPF_EXPONENT);
        let sum: f64 = (0..ORGANISATIONS).map(weight).sum();
        let usual = TOTAL_RATE * weight(index) / sum;
        let mut organisation = Self { usual, factor: 1.0, moves: false, gateways: Vec::new() };
        organisation.choose_gateways(gateways, rng);
        organisation
    }

    /// Chooses the gateways in use at random.
    pub(super) fn choose_gateways(&mut self, gateways: usize, rng: &mut SmallRng) {
        let count = ((self.usual / RATE_PER_GATEWAY).ceil() as usize).max(MIN_GATEWAYS);
        let mut all: Vec<usize> = (0..gateways).collect();
        all.shuffle(rng);
        all.truncate(count);
        self.gateways = all;
    }

    /// Returns the quota before any change of it.
    pub(super) fn quota(&self) -> Quota {
        let rate = self.usual * HEADROOM;
        Quota { rate, burst: rate }
    }

    /// Returns the gateways that receive a request within `seconds`, one for each request.
    pub(super) fn requests(&self, seconds: f64, rng: &mut SmallRng) -> Vec<usize> {
        // Poisson distributed by counting exponential gaps.
        let mean = self.usual * self.factor * seconds;
        let mut requests = Vec::new();
        let mut sum = -rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        while sum < mean {
            requests.push(self.gateways[rng.random_range(0..self.gateways.len())]);
            sum -= rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        }
        requests
    }
}
