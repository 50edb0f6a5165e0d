//! Tests of selection, admission and budgets together under overload, in virtual time.

mod world;

use std::time::Duration;

use proptest::prelude::*;

use crate::support::{at, fuzz, ms};
use world::{Bin, Setup, World};

/// Requests that the service of [`Setup`] answers in 100 ms.
const CAPACITY: f64 = 1_200.0;
/// Bins from which on the start no longer shows.
const STEADY: std::ops::Range<usize> = 5..28;

#[derive(Debug, Default)]
struct Sum {
    arrived: u64,
    in_time: u64,
    refused: u64,
    timed_out: u64,
    offers: u64,
    refusal_wait: Duration,
    refusal_waits: Duration,
    bins: usize,
}

impl Sum {
    fn of(bins: &[Bin]) -> Self {
        let mut sum = Self { bins: bins.len(), ..Self::default() };
        for bin in bins {
            sum.arrived += bin.arrived;
            sum.in_time += bin.in_time;
            sum.refused += bin.refused;
            sum.timed_out += bin.timed_out;
            sum.offers += bin.offers;
            sum.refusal_waits += bin.refusal_waits;
            sum.refusal_wait = sum.refusal_wait.max(bin.refusal_wait);
        }
        sum
    }

    /// Answers within the deadline as a share of the capacity.
    fn goodput(&self) -> f64 {
        self.in_time as f64 / (CAPACITY * self.bins as f64)
    }

    fn offers_per_call(&self) -> f64 {
        self.offers as f64 / self.arrived as f64
    }
}

#[test]
fn overload_yields_full_goodput_and_early_refusals() {
    struct Case {
        name: &'static str,
        target_queue: usize,
        load: u64,
    }
    let cases = [
        Case { name: "targets that refuse at their slots", target_queue: 0, load: 2_000 },
        Case { name: "targets with a short line", target_queue: 3, load: 2_000 },
        Case { name: "targets with a deep line", target_queue: 1_000, load: 2_000 },
        Case { name: "a short line at four times the capacity", target_queue: 3, load: 4_000 },
    ];
    for case in cases {
        let setup = Setup { target_queue: case.target_queue, load: case.load, ..Setup::default() };
        let run = World::run(setup);
        let sum = Sum::of(&run.bins[STEADY]);
        let mean_wait = sum.refusal_waits / u32::try_from(sum.refused).unwrap();
        assert!(run.latency(500) <= setup.queue_wait / 3, "{}: median", case.name);
        assert!(sum.goodput() >= 0.9, "{}: {sum:?}", case.name);
        assert!(sum.timed_out * 100 <= sum.arrived, "{}: {sum:?}", case.name);
        assert!(mean_wait <= setup.queue_wait / 5, "{}: {mean_wait:?}", case.name);
        assert!(sum.refusal_wait <= setup.queue_wait + ms(50), "{}: {sum:?}", case.name);
        assert!(sum.offers_per_call() <= 2.0, "{}: {sum:?}", case.name);
    }
}

#[test]
fn a_service_below_its_capacity_refuses_nothing() {
    for target_queue in [0, 3, 1_000] {
        let setup = Setup { target_queue, load: 750, ..Setup::default() };
        let sum = Sum::of(&World::run(setup).bins[STEADY]);
        assert_eq!(sum.refused + sum.timed_out, 0, "line of {target_queue}: {sum:?}");
    }
}

#[test]
fn no_storm_follows_a_stall_of_the_whole_service() {
    for target_queue in [0, 3, 1_000] {
        let setup = Setup {
            target_queue,
            stall: Some((at(1_000), at(3_000))),
            length: ms(5_000),
            ..Setup::default()
        };
        let bins = World::run(setup).bins;
        let stalled = Sum::of(&bins[10..30]);
        assert!(stalled.offers_per_call() <= 2.0, "line of {target_queue}: {stalled:?}");
        let after = Sum::of(&bins[30..35]);
        assert!(after.offers_per_call() <= 3.0, "line of {target_queue}: {after:?}");
        let recovered = Sum::of(&bins[35..48]);
        let served = recovered.in_time as f64 / recovered.arrived as f64;
        assert!(served >= 0.99, "line of {target_queue}: {recovered:?}");
    }
}

proptest! {
    #![proptest_config(fuzz(6))]

    #[test]
    fn goodput_holds_at_any_overload(
        seed in any::<u64>(),
        gateways in 2_usize..24,
        load in 1_500_u64..3_000,
        target_queue in 1_usize..12,
    ) {
        let length = ms(2_000);
        let setup = Setup { gateways, load, target_queue, seed, length, ..Setup::default() };
        let sum = Sum::of(&World::run(setup).bins[5..18]);
        prop_assert!(sum.goodput() >= 0.9, "{sum:?}");
        prop_assert!(sum.offers_per_call() <= 2.0, "{sum:?}");
    }
}
