//! What several tests share.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::config::Target;
use ibiscroft_core::ids::{Connections, Slots, TargetName, ZoneName};
use proptest::test_runner::{Config, RngSeed};

/// Seed of the random runs in CI.
const SEED: u64 = 20_261_204;

/// Returns a configuration with a fixed seed, unless `PROPTEST_RNG_SEED` states one.
pub(crate) fn fuzz(cases: u32) -> Config {
    let mut cfg = Config { failure_persistence: None, ..Config::default() };
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        cfg.rng_seed = RngSeed::Fixed(SEED);
    }
    if std::env::var_os("PROPTEST_CASES").is_none() {
        cfg.cases = cases;
    }
    cfg
}

/// Returns the instant `millis` after the origin.
pub(crate) fn at(millis: u64) -> Tick {
    Tick::from_millis(millis)
}

/// Returns a span of `millis`.
pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns target `index` with 6 slots, in one of three availability zones in turn.
pub(crate) fn target(index: usize) -> Target {
    Target {
        name: TargetName::new(format!("target-{index}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
        zone: zone(index),
        slots: Slots(6),
        connections: Connections(200),
    }
}

/// Returns the availability zone of the member `index`.
pub(crate) fn zone(index: usize) -> ZoneName {
    ZoneName::new(["a", "b", "c"][index % 3])
}
