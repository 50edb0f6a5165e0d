//! Requests to targets that are not certified as warm.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::budget::TokenBucket;
use ibiscroft_core::ids::PerSecond;
use ibiscroft_core::permits::ReportedState;
use ibiscroft_core::selection::{AttemptedTargets, Candidate};
use rand::Rng;

use super::SelectedTarget;
use crate::backend_client::{ResponseHead, SendError};
use crate::exchange::Exchange;
use crate::permits::{PermitUse, RunReport};
use crate::shared::Shared;
use crate::snapshot::{ServiceView, WarmRun};

/// Rate of permit requests of one traffic thread, for all targets together.
const PERMIT_REQUEST_RATE: PerSecond = PerSecond(40);
/// Number of permit requests that may follow each other without delay.
const PERMIT_REQUEST_BURST: u32 = 20;
/// Rate of warm-up requests of one traffic thread: requests sent to cold targets although warm ones
/// are available.
const WARM_UP_RATE: PerSecond = PerSecond(20);
/// Number of warm-up requests that may follow each other without delay.
const WARM_UP_BURST: u32 = 2;
/// One of this many requests is a candidate for warm-up.
const WARM_UP_ONE_IN: u32 = 4;
/// Longest time that a warm-up request waits for its permit.
const WARM_UP_PERMIT_TIMEOUT: Duration = Duration::from_millis(5);
/// Time after which a waiting request checks the targets again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Requests permits for cold targets and reports the responses of targets.
#[derive(Debug)]
pub(super) struct ColdTargetAccess {
    shared: Arc<Shared>,
    permit_requests: TokenBucket,
    warm_up_requests: TokenBucket,
}

impl ColdTargetAccess {
    /// Creates the access of one traffic thread, with both rate limits unused.
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            permit_requests: TokenBucket::new(PERMIT_REQUEST_RATE, PERMIT_REQUEST_BURST),
            warm_up_requests: TokenBucket::new(WARM_UP_RATE, WARM_UP_BURST),
        }
    }

    /// Requests a permit for the candidate at `index` and waits for it until `until`.
    ///
    /// Returns `None` if the permit is refused or not granted in time, or if the rate of permit
    /// requests is exceeded.
    pub(super) async fn acquire_permit(
        &self,
        view: &ServiceView,
        index: usize,
        until: Tick,
    ) -> Option<PermitUse> {
        let now = self.shared.clock.now();
        if !self.permit_requests.try_take(now) {
            return None;
        }
        let target = &view.pool.candidate(index).target.name;
        let wait = until.since(now);
        let grant = self.shared.permits.request(target, wait);
        let permit = tokio::time::timeout(wait, grant).await.ok().flatten()?;
        Some(PermitUse::new(permit, Arc::clone(&self.shared)))
    }

    /// Selects a cold target for a small share of requests, so that cold targets warm up while
    /// warm ones serve the rest.
    ///
    /// Never selects one for an at-most-once request, or after a target was attempted.
    pub(super) async fn select_for_warm_up(
        &self,
        ex: &Exchange,
        view: &Arc<ServiceView>,
        attempted: &AttemptedTargets,
    ) -> Option<SelectedTarget> {
        let cold = view.pool.cold();
        if cold.is_empty() || view.pool.warm().is_empty() || !attempted.is_empty() {
            return None;
        }
        let now = self.shared.clock.now();
        if ex.is_at_most_once() || !rand::rng().random_ratio(1, WARM_UP_ONE_IN) {
            return None;
        }
        let index = cold[rand::rng().random_range(0..cold.len())];
        let is_reachable = view.pool.candidate(index).load.is_reachable(now);
        if !is_reachable || !self.warm_up_requests.try_take(now) {
            return None;
        }
        let permit = self.acquire_permit(view, index, now + WARM_UP_PERMIT_TIMEOUT).await?;
        Some(SelectedTarget { view: Arc::clone(view), index, permit: Some(permit) })
    }

    /// Waits up to [`RECHECK_INTERVAL`] and updates the request's view of its service.
    ///
    /// Returns `false` if the service no longer exists.
    pub(super) async fn wait_for_change(&self, ex: &mut Exchange, until: Tick) -> bool {
        let left = until.since(self.shared.clock.now());
        tokio::time::sleep(left.min(RECHECK_INTERVAL)).await;
        let snapshot = self.shared.view();
        let Some(view) = snapshot.service(&ex.service.service.name) else {
            return false;
        };
        ex.service = Arc::clone(view);
        true
    }

    /// Reports a response to the control thread, unless it only confirms that the target is warm.
    pub(super) fn report(
        &self,
        candidate: &Candidate,
        result: &Result<ResponseHead, SendError>,
        permit: Option<&PermitUse>,
        warm_run: Option<&WarmRun>,
        sent_at: Tick,
    ) {
        let report = match result {
            Ok(head) => &head.report,
            Err(SendError::Shed { report, .. }) => report,
            Err(_) => return,
        };
        if permit.is_none() && warm_run.is_some_and(|warm_run| agrees_with(warm_run, report)) {
            return;
        }
        let permit = permit.map(|permit_use| &permit_use.permit);
        self.shared.permits.report_response(&candidate.target.name, report, permit, sent_at);
    }
}

/// Returns whether a response agrees with the certificate that `warm_run` is warm.
fn agrees_with(warm_run: &WarmRun, report: &RunReport) -> bool {
    report.state != ReportedState::Cold && report.run.as_ref() == Some(&warm_run.run)
}
