//! End of the filter chain: selects a target, sends the request to it and retries after failures.

mod cold;

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::ids::RunId;
use ibiscroft_core::selection::{AttemptedTargets, Selection, Selector, TwoChoices};
use ibiscroft_core::{Tick, budget};
use ibiscroft_wire::ErrorKind;
use rand::RngCore;

use crate::backend_client::{BackendClient, ColdPermitUse, ResponseHead, SendError};
use crate::connect_guard;
use crate::exchange::{BackendResponse, Exchange, Failure, Reply};
use crate::filters::Handler;
use crate::filters::forward::cold::ColdTargetAccess;
use crate::observation::Observation;
use crate::permits::PermitUse;
use crate::shared::Shared;
use crate::snapshot::{ServiceView, WarmRun};

/// Retry delay for callers whose request was not served.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time that a request waits for a confirmation that the registers in force are recent.
const VALIDITY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a waiting request checks the validity of the registers.
const VALIDITY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Sends requests to targets.
#[derive(Debug)]
pub(crate) struct Forward {
    shared: Arc<Shared>,
    client: BackendClient,
    selector: TwoChoices,
    cold: ColdTargetAccess,
}

/// A target selected for one attempt.
#[derive(Debug)]
struct SelectedTarget {
    view: Arc<ServiceView>,
    index: usize,
    permit: Option<PermitUse>,
}

impl SelectedTarget {
    /// Ends the use of the permit, if there is one, when nothing was sent.
    fn release(self) {
        if let Some(permit) = self.permit {
            permit.end_not_run();
        }
    }
}

impl Forward {
    /// Creates the end of a filter chain.
    pub(crate) fn new(shared: Arc<Shared>, client: BackendClient) -> Self {
        let cold = ColdTargetAccess::new(Arc::clone(&shared));
        Self { shared, client, selector: TwoChoices::default(), cold }
    }

    /// Sends the request to one target after the other until one responds, the retry budget is
    /// used up or the deadline passes.
    async fn send_with_retries(&self, ex: &mut Exchange) -> Reply {
        ex.service.budget.record_call();
        let wait_until = self.shared.clock.now() + ex.service.service.queue_wait;
        let wait_until = wait_until.min(ex.deadline);
        let mut attempted = AttemptedTargets::default();
        let mut last_failure: Option<Failure> = None;
        loop {
            let now = self.shared.clock.now();
            if now >= ex.deadline {
                let detail = "the deadline passed before a target took the request";
                return Err(Failure::new(ErrorKind::DeadlinePassed, detail));
            }
            if let Err(failure) = self.refresh_view(ex, &mut attempted).await {
                return Err(last_failure.unwrap_or(failure));
            }
            let may_wait = last_failure.is_none().then_some(wait_until);
            let selected = match self.select_target(ex, &mut attempted, may_wait).await {
                Ok(selected) => selected,
                Err(failure) => return Err(last_failure.unwrap_or(failure)),
            };
            // The view may have changed while the selection waited for a permit.
            if !self.is_current(&selected) {
                selected.release();
                continue;
            }
            attempted.insert(selected.index);
            match self.attempt(ex, selected).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    let (failure, cause) = classify(error);
                    let now = self.shared.clock.now();
                    if !ex.service.budget.try_retry(cause, ex.is_safe(), now) {
                        return Err(failure);
                    }
                    last_failure = Some(failure);
                }
            }
        }
    }

    /// Updates the request's view of its service, and waits up to [`VALIDITY_TIMEOUT`] while the
    /// registers in force are not confirmed as recent.
    ///
    /// Clears `attempted` when the view has changed, because the indexes of its candidates may
    /// differ.
    async fn refresh_view(
        &self,
        ex: &mut Exchange,
        attempted: &mut AttemptedTargets,
    ) -> Result<(), Failure> {
        let started = self.shared.clock.now();
        let until = ex.deadline.min(started + VALIDITY_TIMEOUT);
        while !self.shared.validity.holds(self.shared.clock.now()) {
            if self.shared.clock.now() >= until {
                let detail = "neither the store nor another gateway confirms the configuration";
                let failure = Failure::new(ErrorKind::NotReady, detail);
                return Err(failure.retry_after(RETRY_AFTER));
            }
            tokio::time::sleep(VALIDITY_CHECK_INTERVAL).await;
        }
        let view = self.shared.view();
        let Some(current) = view.service(&ex.service.service.name) else {
            return Err(Failure::new(ErrorKind::NoRoute, "the service was removed"));
        };
        if !Arc::ptr_eq(current, &ex.service) {
            ex.service = Arc::clone(current);
            *attempted = AttemptedTargets::default();
        }
        Ok(())
    }

    /// Returns whether the target was selected from the current view and the registers in force
    /// are still valid.
    fn is_current(&self, selected: &SelectedTarget) -> bool {
        let snapshot = self.shared.view();
        let current = snapshot.service(&selected.view.service.name);
        current.is_some_and(|current| Arc::ptr_eq(current, &selected.view))
            && self.shared.validity.holds(self.shared.clock.now())
    }

    /// Selects a target; given `wait_until`, the request may wait until then for a permit or for
    /// an eligible target.
    async fn select_target(
        &self,
        ex: &mut Exchange,
        attempted: &mut AttemptedTargets,
        wait_until: Option<Tick>,
    ) -> Result<SelectedTarget, Failure> {
        loop {
            let view = Arc::clone(&ex.service);
            if let Some(selected) = self.cold.select_for_warm_up(ex, &view, attempted).await {
                return Ok(selected);
            }
            let now = self.shared.clock.now();
            let selection = self.selector.select(&view.pool, attempted, now, &mut rand::rng());
            let failure = match selection {
                Selection::Warm(index) if view.warm_run(index).is_some() => {
                    return Ok(SelectedTarget { view, index, permit: None });
                }
                Selection::Warm(index) => {
                    // The liveness connection was closed after the view was published.
                    attempted.insert(index);
                    continue;
                }
                Selection::Cold(index) => {
                    let until = wait_until.unwrap_or(now);
                    if let Some(permit) = self.cold.acquire_permit(&view, index, until).await {
                        return Ok(SelectedTarget { view, index, permit: Some(permit) });
                    }
                    attempted.insert(index);
                    continue;
                }
                other => no_target(other, &view),
            };
            let Some(until) = wait_until.filter(|until| now < *until) else {
                return Err(failure);
            };
            if !self.cold.wait_for_change(ex, until).await {
                return Err(failure);
            }
            *attempted = AttemptedTargets::default();
        }
    }

    /// Sends the request to the selected target and records the result for the target.
    ///
    /// Returns the permit, if there is one, as soon as the request is certain not to run.
    async fn attempt(
        &self,
        ex: &mut Exchange,
        selected: SelectedTarget,
    ) -> Result<BackendResponse, SendError> {
        let SelectedTarget { view, index, permit } = selected;
        let candidate = view.pool.candidate(index);
        if let Some(key) = &ex.key {
            log::debug!("sending at-most-once request {key} to {}", candidate.target.name);
        }
        let in_flight = candidate.load.begin_request();
        ex.sent_to = Some(candidate.target.name.clone());
        let warm_run = view.warm_run(index);
        let liveness = warm_run.map(|warm_run| Arc::clone(&warm_run.liveness));
        let started = self.shared.clock.now();
        if !may_send(permit.as_ref(), warm_run, started) {
            if let Some(permit) = permit {
                permit.end_not_run();
            }
            return Err(SendError::NotSent("the target may not be sent to now".to_string()));
        }
        let run_limit = permit.as_ref().map(|permit_use| started + permit_use.permit.run_limit);
        let deadline = run_limit.map_or(ex.deadline, |limit| limit.min(ex.deadline));
        let send = self.client.send(ex, candidate, deadline, started);
        // A request under a permit does not rely on the certificate.
        let guard = liveness.filter(|_| permit.is_none());
        let result = connect_guard::guarded(guard, send).await;
        let now = self.shared.clock.now();
        ex.upstream_time += now.since(started);
        self.cold.report(candidate, &result, permit.as_ref(), warm_run, started);
        if let Some(run) = draining_run(&result).cloned() {
            let target = candidate.target.name.clone();
            self.shared.observe(Observation::Draining { target, run, sent_at: started });
        }
        match result {
            Ok(head) => {
                candidate.load.record_response(now);
                let ends_at = tokio::time::Instant::now() + deadline.since(now);
                let permit = permit.map(|permit_use| ColdPermitUse { permit_use, ends_at });
                Ok(head.into_response(in_flight, permit))
            }
            Err(error) => {
                let did_not_run = !matches!(error, SendError::Unknown(..));
                let had_permit = permit.is_some();
                if let Some(permit) = permit.filter(|_| did_not_run) {
                    permit.end_not_run();
                }
                match &error {
                    SendError::Shed { .. } => in_flight.end_shed(now),
                    SendError::NotSent(_) => {
                        in_flight.end_unreachable(now, rand::rng().next_u64());
                    }
                    SendError::Unknown(..) if had_permit => {
                        in_flight.end_unreachable(now, rand::rng().next_u64());
                    }
                    SendError::Unknown(..) => {}
                }
                Err(error)
            }
        }
    }
}

impl Handler for Forward {
    async fn handle(&self, ex: &mut Exchange) -> Reply {
        self.send_with_retries(ex).await
    }
}

/// Returns the run that reported in its response that it drains.
fn draining_run(result: &Result<ResponseHead, SendError>) -> Option<&RunId> {
    match result {
        Ok(head) => head.draining.as_ref(),
        Err(SendError::Shed { draining, .. }) => draining.as_ref(),
        Err(_) => None,
    }
}

/// Returns the failure to report to the caller for a failed attempt, and its kind for the retry
/// budget.
fn classify(error: SendError) -> (Failure, budget::AttemptFailure) {
    match error {
        SendError::NotSent(detail) => {
            (Failure::new(ErrorKind::ConnectFailed, detail), budget::AttemptFailure::NotSent)
        }
        SendError::Shed { .. } => {
            let detail = "the targets that were tried refused the request";
            let failure = Failure::new(ErrorKind::Shed, detail).retry_after(RETRY_AFTER);
            (failure, budget::AttemptFailure::Shed)
        }
        SendError::Unknown(ErrorKind::AnswerTimeout, detail) => {
            (Failure::new(ErrorKind::AnswerTimeout, detail), budget::AttemptFailure::TimedOut)
        }
        SendError::Unknown(kind, detail) => {
            (Failure::new(kind, detail), budget::AttemptFailure::Lost)
        }
    }
}

/// Returns whether a request may be sent at `now`: its permit must allow it, or, without a permit,
/// the target must be certified as warm.
fn may_send(permit: Option<&PermitUse>, warm_run: Option<&WarmRun>, now: Tick) -> bool {
    permit.map_or(warm_run.is_some(), |permit_use| permit_use.permit.may_send(now))
}

fn no_target(selection: Selection, view: &ServiceView) -> Failure {
    let is_cold = view.pool.warm().is_empty() && !view.pool.cold().is_empty();
    let (kind, detail) = match selection {
        Selection::Exhausted if is_cold => (ErrorKind::OnlyColdTargets, "all targets are starting"),
        Selection::Unreachable => (ErrorKind::ConnectFailed, "all targets refuse connections"),
        _ => (ErrorKind::NoTarget, "no target may receive new work"),
    };
    Failure::new(kind, detail).retry_after(RETRY_AFTER)
}
