//! Times and limits of the simulation, and the rules that tests break on purpose.

use std::time::Duration;

use ibiscroft_core::ids::{InstanceName, TargetName};
use ibiscroft_core::permits::PermitLimits;
use ibiscroft_core::roster::RosterTimings;

pub(crate) const GATEWAYS: usize = 4;
pub(crate) const TARGETS: usize = 3;
/// Resolution of the simulated clock.
pub(super) const CLOCK_STEP: Duration = Duration::from_millis(10);
/// Time between two watches of one gateway.
pub(super) const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time from the end of a target's run until the kernel of a gateway sees its liveness
/// connection closed.
pub(super) const MAX_CLOSE_DELAY: Duration = Duration::from_millis(30);
/// Time after which a view of the roster is no longer used unless the store confirmed it again.
pub(super) const VIEW_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time without a response after which a gateway considers the store unreachable.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that a gateway waits for a permit.
pub(super) const PERMIT_WAIT: Duration = Duration::from_millis(600);
/// Longest time that a request runs at a simulated backend server.
pub(super) const RUN_LIMIT: Duration = Duration::from_millis(800);

/// A rule that a test breaks on purpose, to check that the simulation detects the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BrokenRule {
    None,
    /// A gateway ignores how long a permit is valid.
    PermitValidity,
    /// A new lease holder grants permits at once.
    TakeoverDelay,
    /// A lease holder that cannot reach the store keeps granting permits.
    KeepViewAlone,
    /// A lease holder that cannot reach the store keeps granting permits while every other member
    /// of its last view cannot reach the store either and agrees to keep that view.
    KeepViewTogether,
    /// The run limit of a permit is shorter than requests may run, so that a lease holder stops
    /// counting a permit that was not returned while its request still runs.
    PermitLifetime,
    /// A certificate stays valid after its liveness connection was closed.
    LivenessConnection,
}

pub(super) fn roster_timings(broken: BrokenRule) -> RosterTimings {
    let wait = VIEW_VALIDITY + permit_limits(BrokenRule::None).max_lifetime() + 5 * CLOCK_STEP;
    RosterTimings {
        lease_ttl: Duration::from_millis(1_500),
        lease_margin: 10 * CLOCK_STEP,
        renew_interval: Duration::from_millis(400),
        view_validity: VIEW_VALIDITY,
        takeover_delay: if broken == BrokenRule::TakeoverDelay { Duration::ZERO } else { wait },
    }
}

pub(super) fn permit_limits(broken: BrokenRule) -> PermitLimits {
    let (send_window, transit_limit, run_limit) = match broken {
        BrokenRule::PermitLifetime => (100, 50, 100),
        _ => (100, 50, 800),
    };
    PermitLimits {
        send_window: Duration::from_millis(send_window),
        run_limit: Duration::from_millis(run_limit),
        transit_limit: Duration::from_millis(transit_limit),
        max_waiting_per_target: 8,
        max_open_requests: 16,
    }
}

pub(crate) fn gateway_name(gateway: usize) -> InstanceName {
    InstanceName::new(format!("gateway-{gateway}"))
}

pub(super) fn target_name(target: usize) -> TargetName {
    TargetName::new(format!("target-{target}"))
}
