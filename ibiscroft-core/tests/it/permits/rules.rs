//! Periods and limits of the model, and the rules that tests break on purpose.

use std::time::Duration;

use ibiscroft_core::ids::{InstanceName, TargetName};
use ibiscroft_core::permits::PermitLimits;
use ibiscroft_core::roster::RosterTimings;

pub(crate) const GATEWAYS: usize = 4;
pub(crate) const TARGETS: usize = 3;
/// Resolution of the model's clock.
pub(super) const STEP: Duration = Duration::from_millis(10);
/// Time between two watches of one gateway.
pub(super) const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between the end of a run and its notice by the kernel of a gateway.
pub(super) const CLOSE_DELAY: Duration = Duration::from_millis(30);
/// Time after which an unconfirmed view is no longer used.
pub(super) const VIEW_LIMIT: Duration = Duration::from_millis(1_000);
/// Time without an answer after which a gateway takes itself to be cut off from the store.
pub(super) const CUT_OFF: Duration = Duration::from_millis(800);
/// Time a gateway waits for a permit.
pub(super) const WAIT: Duration = Duration::from_millis(600);
/// Longest time that a request under a permit runs at a model backend server.
pub(super) const RUN_LIMIT: Duration = Duration::from_millis(800);
/// A rule that a test breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    /// A gateway takes no notice of how long a permit is valid.
    Check,
    /// A new holder grants at once.
    Takeover,
    /// A holder goes on alone while it does not reach the store.
    GoOnAlone,
    /// A holder that does not reach the store goes on while every other member of its last view
    /// promises to keep that view and does not reach the store either.
    GoOnTogether,
    /// A request whose gateway is gone is counted for a moment only.
    Hold,
    /// A certificate outlives its tripwire.
    Tripwire,
}

pub(super) fn times(broken: Broken) -> RosterTimings {
    let wait = VIEW_LIMIT + limits(Broken::Nothing).hold() + 5 * STEP;
    RosterTimings {
        lease_ttl: Duration::from_millis(1_500),
        lease_margin: 10 * STEP,
        renew_interval: Duration::from_millis(400),
        view_validity: VIEW_LIMIT,
        takeover_delay: if broken == Broken::Takeover { Duration::ZERO } else { wait },
    }
}

pub(super) fn limits(broken: Broken) -> PermitLimits {
    let (send_window, transit_limit, run_limit) = match broken {
        Broken::Hold => (100, 50, 100),
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

pub(crate) fn name(gateway: usize) -> InstanceName {
    InstanceName::new(format!("gateway-{gateway}"))
}

pub(super) fn target_name(target: usize) -> TargetName {
    TargetName::new(format!("target-{target}"))
}
