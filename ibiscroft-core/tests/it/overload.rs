//! Tests of selection, admission and retry budgets together under overload, in virtual time.

mod world;

use std::time::Duration;

use proptest::prelude::*;

use crate::support::{at, fuzz, ms};
use world::{Bin, Setup, World};

/// Requests that the targets of the default [`Setup`] can process in 100 ms.
const CAPACITY_PER_BIN: f64 = 1_200.0;
/// Bins in which the load is steady: the start is left out.
const STEADY_BINS: std::ops::Range<usize> = 5..28;

/// Totals over several bins.
#[derive(Debug, Default)]
struct Sum {
    arrived: u64,
    in_time: u64,
    rejected: u64,
    timed_out: u64,
    attempts: u64,
    longest_rejection_wait: Duration,
    total_rejection_wait: Duration,
    bins: usize,
}

impl Sum {
    fn of(bins: &[Bin]) -> Self {
        let mut sum = Self { bins: bins.len(), ..Self::default() };
        for bin in bins {
            sum.arrived += bin.arrived;
            sum.in_time += bin.in_time;
            sum.rejected += bin.rejected;
            sum.timed_out += bin.timed_out;
            sum.attempts += bin.attempts;
            sum.total_rejection_wait += bin.total_rejection_wait;
            sum.longest_rejection_wait = sum.longest_rejection_wait.max(bin.longest_rejection_wait);
        }
        sum
    }

    /// Returns the responses within the deadline as a share of the capacity.
    fn goodput(&self) -> f64 {
        self.in_time as f64 / (CAPACITY_PER_BIN * self.bins as f64)
    }

    fn attempts_per_call(&self) -> f64 {
        self.attempts as f64 / self.arrived as f64
    }
}

#[test]
fn overload_keeps_goodput_high_and_rejects_early() {
    struct Case {
        name: &'static str,
        target_queue: usize,
        load: u64,
    }
    let cases = [
        Case { name: "targets that shed when all slots are busy", target_queue: 0, load: 2_000 },
        Case { name: "targets with a short queue", target_queue: 3, load: 2_000 },
        Case { name: "targets with a long queue", target_queue: 1_000, load: 2_000 },
        Case { name: "short queue at four times the capacity", target_queue: 3, load: 4_000 },
    ];
    for case in cases {
        let setup = Setup { target_queue: case.target_queue, load: case.load, ..Setup::default() };
        let run = World::run(setup);
        let sum = Sum::of(&run.bins[STEADY_BINS]);
        let mean_wait = sum.total_rejection_wait / u32::try_from(sum.rejected).unwrap();
        assert!(run.latency(500) <= setup.queue_wait / 3, "{}: median latency", case.name);
        assert!(sum.goodput() >= 0.9, "{}: {sum:?}", case.name);
        assert!(sum.timed_out * 100 <= sum.arrived, "{}: {sum:?}", case.name);
        assert!(mean_wait <= setup.queue_wait / 5, "{}: {mean_wait:?}", case.name);
        assert!(sum.longest_rejection_wait <= setup.queue_wait + ms(50), "{}: {sum:?}", case.name);
        assert!(sum.attempts_per_call() <= 2.0, "{}: {sum:?}", case.name);
    }
}

#[test]
fn load_below_capacity_causes_no_rejections() {
    for target_queue in [0, 3, 1_000] {
        let setup = Setup { target_queue, load: 750, ..Setup::default() };
        let sum = Sum::of(&World::run(setup).bins[STEADY_BINS]);
        assert_eq!(sum.rejected + sum.timed_out, 0, "target queue of {target_queue}: {sum:?}");
    }
}

#[test]
fn stall_of_all_targets_causes_no_retry_storm() {
    for target_queue in [0, 3, 1_000] {
        let setup = Setup {
            target_queue,
            stall: Some((at(1_000), at(3_000))),
            length: ms(5_000),
            ..Setup::default()
        };
        let bins = World::run(setup).bins;
        // The stall covers bins 10 to 29; the deadlines of its calls have passed by bin 35.
        let stalled = Sum::of(&bins[10..30]);
        assert!(stalled.attempts_per_call() <= 2.0, "target queue of {target_queue}: {stalled:?}");
        let after = Sum::of(&bins[30..35]);
        assert!(after.attempts_per_call() <= 3.0, "target queue of {target_queue}: {after:?}");
        let recovered = Sum::of(&bins[35..48]);
        let served = recovered.in_time as f64 / recovered.arrived as f64;
        assert!(served >= 0.99, "target queue of {target_queue}: {recovered:?}");
    }
}

proptest! {
    #![proptest_config(fuzz(6))]

    #[test]
    fn goodput_stays_high_at_any_overload(
        seed in any::<u64>(),
        gateways in 2_usize..24,
        load in 1_500_u64..3_000,
        target_queue in 1_usize..12,
    ) {
        let length = ms(2_000);
        let setup = Setup { gateways, load, target_queue, seed, length, ..Setup::default() };
        let sum = Sum::of(&World::run(setup).bins[5..18]);
        prop_assert!(sum.goodput() >= 0.9, "{sum:?}");
        prop_assert!(sum.attempts_per_call() <= 2.0, "{sum:?}");
    }
}
