//! Requests to targets that are not proved warm.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::budget::TokenBucket;
use ibiscroft_core::ids::PerSecond;
use ibiscroft_core::permits::ReportedState;
use ibiscroft_core::selection::{AttemptedTargets, Candidate};
use rand::Rng;

use super::Choice;
use crate::backend_client::{ResponseHead, SendError};
use crate::exchange::Exchange;
use crate::permits::{PermitUse, RunReport};
use crate::shared::Shared;
use crate::snapshot::{ServiceView, WarmProof};

/// Permits asked for in a second, for all targets together.
const ASKS: PerSecond = PerSecond(40);
/// Permits asked for at once.
const ASK_BURST: u32 = 20;
/// Requests in a second that are offered to cold targets although warm ones have room.
const WARMING: PerSecond = PerSecond(20);
/// Such requests at once.
const WARMING_BURST: u32 = 2;
/// One request of this many may be such a request.
const WARMING_SHARE: u32 = 4;
/// Longest time such a request waits for its permit.
const WARMING_WAIT: Duration = Duration::from_millis(5);
/// Pause before a request that waits looks at the targets again.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Asks for permits and reports what their use showed.
#[derive(Debug)]
pub(super) struct ColdPath {
    shared: Arc<Shared>,
    asks: TokenBucket,
    warming: TokenBucket,
}

impl ColdPath {
    /// Makes the path.
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            asks: TokenBucket::new(ASKS, ASK_BURST),
            warming: TokenBucket::new(WARMING, WARMING_BURST),
        }
    }

    /// Asks for a permit for the candidate at `index` and waits until `until` at the longest.
    pub(super) async fn permit(
        &self,
        view: &ServiceView,
        index: usize,
        until: Tick,
    ) -> Option<PermitUse> {
        let now = self.shared.clock.now();
        if !self.asks.try_take(now) {
            return None;
        }
        let target = &view.pool.candidate(index).target.name;
        let wait = until.since(now);
        let asked = self.shared.permits.ask(target, wait);
        let permit = tokio::time::timeout(wait, asked).await.ok().flatten()?;
        Some(PermitUse::new(permit, Arc::clone(&self.shared)))
    }

    /// Offers a request to a cold target now and then, so that it gets warm beside warm ones.
    ///
    /// Requests that must run at most once are left out.
    pub(super) async fn warm_another(
        &self,
        ex: &Exchange,
        view: &Arc<ServiceView>,
        tried: &AttemptedTargets,
    ) -> Option<Choice> {
        let cold = view.pool.cold();
        if cold.is_empty() || view.pool.warm().is_empty() || !tried.is_empty() {
            return None;
        }
        let now = self.shared.clock.now();
        if ex.is_at_most_once() || !rand::rng().random_ratio(1, WARMING_SHARE) {
            return None;
        }
        let index = cold[rand::rng().random_range(0..cold.len())];
        let is_reachable = view.pool.candidate(index).load.is_reachable(now);
        if !is_reachable || !self.warming.try_take(now) {
            return None;
        }
        let permit = self.permit(view, index, now + WARMING_WAIT).await?;
        Some(Choice { view: Arc::clone(view), index, permit: Some(permit) })
    }

    /// Waits a moment and takes the present view of the service; returns whether there is one.
    pub(super) async fn wait_for_change(&self, ex: &mut Exchange, until: Tick) -> bool {
        let left = until.since(self.shared.clock.now());
        tokio::time::sleep(left.min(LOOK_INTERVAL)).await;
        let snapshot = self.shared.view();
        let Some(view) = snapshot.service(&ex.service.service.name) else {
            return false;
        };
        ex.service = Arc::clone(view);
        true
    }

    /// Tells control what an answer showed, if it bears on the warmth of the target.
    pub(super) fn report(
        &self,
        candidate: &Candidate,
        sent: &Result<ResponseHead, SendError>,
        permit: Option<&PermitUse>,
        proof: Option<&WarmProof>,
        sent_at: Tick,
    ) {
        let report = match sent {
            Ok(sent) => &sent.report,
            Err(SendError::Shed { report, .. }) => report,
            Err(_) => return,
        };
        if permit.is_none() && proof.is_some_and(|proof| confirms(proof, report)) {
            return;
        }
        let permit = permit.map(|cold| &cold.permit);
        self.shared.permits.answered(&candidate.target.name, report, permit, sent_at);
    }
}

/// Returns whether an answer agrees with the proof that the target is warm.
fn confirms(proof: &WarmProof, report: &RunReport) -> bool {
    report.state != ReportedState::Cold && report.run.as_ref() == Some(&proof.run)
}
