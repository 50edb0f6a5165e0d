//! What a gateway does in which part of its stop grace period.

use std::time::Duration;

use super::route::Repeatable;
use crate::Tick;

/// Fraction of the grace period after which no connection is accepted any more.
const LISTEN_FRACTION: f64 = 0.45;
/// Longest time for which connections are accepted. The platform's balancer checks the status once
/// a second and passes on no further connections after two failed checks.
const MAX_LISTEN_TIME: Duration = Duration::from_millis(2_700);
/// Fraction of the grace period after which the gateway stops waiting for responses of targets.
const WAIT_FRACTION: f64 = 0.875;
/// Fraction of the grace period after which connections with an incomplete response are closed.
const CLOSE_FRACTION: f64 = 0.9;
/// Fraction of the grace period, after the last response, in which callers may close their
/// connections. The rest of the grace period is left for the process to end.
const CALLER_CLOSE_FRACTION: f64 = 0.04;

/// The parts of the grace period of a gateway that was asked to stop.
///
/// The time in which requests are accepted is bounded, however long the grace period is: a request
/// must have the rest of the period to complete in.
///
/// ```
/// use std::time::Duration;
/// use ibiscroft_core::Tick;
/// use ibiscroft_core::fleet::{Repeatable, StopSchedule};
///
/// let stop = StopSchedule::new(Tick::ZERO, Duration::from_secs(10));
/// let now = Tick::from_millis(4_000);
/// assert!(stop.may_send(now, now + Duration::from_secs(4), Repeatable::No));
/// assert!(!stop.may_send(now, now + Duration::from_secs(6), Repeatable::No));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    requested_at: Tick,
    grace: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a gateway that was asked at `requested_at` to end within `grace`.
    #[must_use]
    pub fn new(requested_at: Tick, grace: Duration) -> Self {
        Self { requested_at, grace }
    }

    /// Returns until when connections, and requests on idle connections, are accepted.
    #[must_use]
    pub fn listens_until(&self) -> Tick {
        self.requested_at + self.grace.mul_f64(LISTEN_FRACTION).min(MAX_LISTEN_TIME)
    }

    /// Returns until when targets may respond. Requests without a response are then answered as
    /// failed.
    #[must_use]
    pub fn waits_until(&self) -> Tick {
        self.requested_at + self.grace.mul_f64(WAIT_FRACTION)
    }

    /// Returns when connections with an incomplete response are closed.
    #[must_use]
    pub fn closes_at(&self) -> Tick {
        self.requested_at + self.grace.mul_f64(CLOSE_FRACTION)
    }

    /// Returns for how long callers may close their connections after the last response.
    #[must_use]
    pub fn caller_close_timeout(&self) -> Duration {
        self.grace.mul_f64(CALLER_CLOSE_FRACTION)
    }

    /// Returns whether a request that has been received completely by `now` and times out at
    /// `deadline` may be sent to a target.
    ///
    /// That is so if it times out before the gateway stops waiting for responses. A repeatable
    /// request with a later deadline may still be sent while connections are accepted, since it most
    /// likely completes in time and may be repeated if it does not.
    #[must_use]
    pub fn may_send(&self, now: Tick, deadline: Tick, repeatable: Repeatable) -> bool {
        let is_early = now < self.listens_until() && repeatable.is_repeatable();
        deadline <= self.waits_until() || is_early
    }
}
