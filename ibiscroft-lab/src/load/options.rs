//! Options of a load run and their bounds.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, ensure};

use super::key::timed_key;
use super::mix::CallKind;

/// Most calls of one run.
const MAX_CALLS: u64 = 2_000_000;
/// Highest rate, in calls a second.
const MAX_RATE: f64 = 50_000.0;
/// Longest run.
const MAX_DURATION: Duration = Duration::from_secs(600);

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses that take calls in turn, as behind the platform's balancer.
    pub entries: Vec<SocketAddr>,
    /// Calls a second.
    pub rate: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Calls at most.
    pub max_calls: u64,
    /// Calls in flight at most; those above are recorded as not sent.
    pub max_in_flight: usize,
    /// Seed of arrivals, kinds and work.
    pub seed: u64,
    /// Kinds of calls.
    pub mix: Vec<CallKind>,
    /// How long a caller waits for the whole answer.
    pub timeout: Duration,
    /// Prefix of idempotency keys and call names, different for each run.
    pub run: String,
}

impl LoadOptions {
    /// One kind of call at `rate` calls a second for `duration`.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, rate: f64, duration: Duration) -> Self {
        Self {
            entries,
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

    /// Checks the bounds.
    pub(super) fn check(&self) -> Result<()> {
        ensure!(!self.entries.is_empty(), "no address to send calls to");
        for address in &self.entries {
            if !address.is_ipv4() || !address.ip().is_loopback() {
                bail!("address {address} is not in 127.0.0.0/8; load stays on loopback");
            }
        }
        ensure!(
            self.rate > 0.0 && self.rate <= MAX_RATE,
            "rate is {}, allowed is above 0 up to {MAX_RATE} calls a second",
            self.rate
        );
        ensure!(
            self.duration <= MAX_DURATION,
            "duration is {:?}, allowed is up to {MAX_DURATION:?}",
            self.duration
        );
        ensure!(
            self.max_calls <= MAX_CALLS,
            "number of calls is {}, allowed is up to {MAX_CALLS}",
            self.max_calls
        );
        ensure!(
            self.mix.iter().map(|kind| kind.weight).sum::<f64>() > 0.0,
            "no kind of call has a weight above 0"
        );
        Ok(())
    }
}
