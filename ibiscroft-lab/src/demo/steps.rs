//! Steps of the demo: changes to the system while it serves calls.

use std::time::Duration;

use eyre::{Result, eyre};
use tokio::time::{Instant, sleep, sleep_until};

use super::fleet::{BackendProcess, Fleet, ZONES};
use crate::backend::BackendControl;

/// Time after a change by which every gateway must have applied it.
pub(super) const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
// Times of the steps, since the start of `Steps::run`.
const KILL_AT: Duration = Duration::from_secs(2);
const DRAIN_AT: Duration = Duration::from_secs(5);
const ZONE_OUT_AT: Duration = Duration::from_secs(8);
const ZONE_IN_AT: Duration = Duration::from_secs(15);
/// Zone whose first server is killed.
const KILL_ZONE: &str = ZONES[0];
/// Zone whose first server drains.
const DRAIN_ZONE: &str = ZONES[1];
/// Zone that is taken out of service and brought back.
const OUT_ZONE: &str = ZONES[2];

/// Observations during the steps.
#[derive(Clone, Debug, Default)]
pub(super) struct Steps {
    /// Name of the server that was killed.
    pub(super) killed: String,
    /// Requests received in the zone that was out of service, after the propagation limit.
    pub(super) received_while_out: u64,
    /// Requests that the zone had received in total when it was brought back.
    pub(super) received_before_return: u64,
}

impl Steps {
    /// Runs the steps at their times.
    pub(super) async fn run(fleet: &mut Fleet) -> Result<Self> {
        let started = Instant::now();
        let mut steps = Self::default();
        sleep_until(started + KILL_AT).await;
        steps.kill(fleet).await?;
        sleep_until(started + DRAIN_AT).await;
        drain(fleet).await?;
        sleep_until(started + ZONE_OUT_AT).await;
        fleet.run_ops(&["zone", "out", OUT_ZONE]).await?;
        println!("    zone {OUT_ZONE} is taken out of service");
        sleep(PROPAGATION_LIMIT).await;
        let received_at_limit = received_in(fleet, OUT_ZONE).await?;
        sleep_until(started + ZONE_IN_AT).await;
        steps.received_before_return = received_in(fleet, OUT_ZONE).await?;
        steps.received_while_out = steps.received_before_return - received_at_limit;
        fleet.run_ops(&["zone", "in", OUT_ZONE]).await?;
        println!("    zone {OUT_ZONE} is brought back");
        Ok(steps)
    }

    async fn kill(&mut self, fleet: &mut Fleet) -> Result<()> {
        let backend = first_in(&mut fleet.backends, KILL_ZONE)?;
        backend.process.kill().await?;
        self.killed = backend.process.name().to_string();
        println!("    backend server {} is killed", self.killed);
        Ok(())
    }
}

/// Returns the number of requests that the servers of a zone have received.
pub(super) async fn received_in(fleet: &Fleet, zone: &str) -> Result<u64> {
    let mut received = 0;
    for backend in &fleet.backends {
        if backend.zone != zone {
            continue;
        }
        received += backend.admin.counters().await?.received;
    }
    Ok(received)
}

/// Returns the zone that is taken out of service and brought back.
pub(super) fn out_zone() -> &'static str {
    OUT_ZONE
}

async fn drain(fleet: &mut Fleet) -> Result<()> {
    let backend = first_in(&mut fleet.backends, DRAIN_ZONE)?;
    let control = BackendControl { draining: Some(true), ..BackendControl::default() };
    backend.admin.control(&control).await?;
    println!("    backend server {} drains", backend.process.name());
    Ok(())
}

fn first_in<'a>(backends: &'a mut [BackendProcess], zone: &str) -> Result<&'a mut BackendProcess> {
    let mut in_zone = backends.iter_mut().filter(|backend| backend.zone == zone);
    in_zone.next().ok_or_else(|| eyre!("no backend server in {zone}"))
}
