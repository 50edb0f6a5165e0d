//! Helpers that several test modules share.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::Target;
use ibiscroft_core::ids::{Connections, Slots, TargetName, ZoneName};
use proptest::test_runner::{Config, RngSeed};

/// Seed of the property tests unless `PROPTEST_RNG_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_204;

/// Returns the configuration of a property test: a fixed seed and `cases` cases, unless the
/// environment variables `PROPTEST_RNG_SEED` and `PROPTEST_CASES` are set.
pub(crate) fn fuzz(cases: u32) -> Config {
    let mut cfg = Config { failure_persistence: None, ..Config::default() };
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        cfg.rng_seed = RngSeed::Fixed(DEFAULT_SEED);
    }
    if std::env::var_os("PROPTEST_CASES").is_none() {
        cfg.cases = cases;
    }
    cfg
}

/// Returns the instant `millis` milliseconds after the origin of the clock.
pub(crate) fn at(millis: u64) -> Tick {
    Tick::from_millis(millis)
}

/// Returns a duration of `millis` milliseconds.
pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns target `index`, which has 6 slots and runs in the availability zone `zone(index)`.
pub(crate) fn target(index: usize) -> Target {
    Target {
        name: TargetName::new(format!("target-{index}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
        zone: zone(index),
        slots: Slots(6),
        connections: Connections(200),
    }
}

/// Returns the availability zone of target or gateway `index`: one of three in turn.
pub(crate) fn zone(index: usize) -> ZoneName {
    ZoneName::new(["a", "b", "c"][index % 3])
}
