//! Options of a load run and their allowed ranges.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, ensure};

use super::key::timed_key;
use super::mix::CallKind;

/// Highest number of calls in a run.
const MAX_CALLS: u64 = 2_000_000;
/// Highest rate, in calls per second.
const MAX_RATE: f64 = 50_000.0;
/// Longest duration of a run.
const MAX_DURATION: Duration = Duration::from_secs(600);

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses that receive calls in turn, as behind the platform's load balancer.
    pub addresses: Vec<SocketAddr>,
    /// Mean rate, in calls per second.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Highest number of calls.
    pub max_calls: u64,
    /// Highest number of calls in flight; further calls are recorded as not sent.
    pub max_in_flight: usize,
    /// Seed for the times, kinds and work of the calls.
    pub seed: u64,
    /// Kinds of calls.
    pub mix: Vec<CallKind>,
    /// Longest time that a caller waits for the end of a response.
    pub timeout: Duration,
    /// Prefix of call ids and idempotency keys, unique for each run.
    pub run: String,
}

impl LoadOptions {
    /// Creates options for GET requests of `/` at `rate` calls per second for `duration`.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, rate: f64, duration: Duration) -> Self {
        Self {
            addresses,
            rate,
            duration,
            max_calls: MAX_CALLS,
            max_in_flight: 10_000,
            seed: 1,
            mix: vec![CallKind::get("get", "/")],
            timeout: Duration::from_secs(10),
            run: timed_key(&format!("{:x}", std::process::id())),
        }
    }

    /// Checks that the options are in range and the addresses are on loopback.
    pub(super) fn check(&self) -> Result<()> {
        ensure!(!self.addresses.is_empty(), "no address to send calls to");
        for address in &self.addresses {
            if !address.is_ipv4() || !address.ip().is_loopback() {
                bail!(
                    "address {address} is not in 127.0.0.0/8; the load generator sends to loopback addresses only"
                );
            }
        }
        ensure!(
            self.rate > 0.0 && self.rate <= MAX_RATE,
            "rate is {}, must be above 0 and at most {MAX_RATE} calls per second",
            self.rate
        );
        ensure!(
            self.duration <= MAX_DURATION,
            "duration is {:?}, must be at most {MAX_DURATION:?}",
            self.duration
        );
        ensure!(
            self.max_calls <= MAX_CALLS,
            "number of calls is {}, must be at most {MAX_CALLS}",
            self.max_calls
        );
        ensure!(
            self.mix.iter().map(|kind| kind.weight).sum::<f64>() > 0.0,
            "no kind of call has a weight above 0"
        );
        Ok(())
    }
}
