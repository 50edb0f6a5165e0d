//! The end of the chain: selects targets, sends the request and checks the answer.

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
use crate::filters::forward::cold::ColdPath;
use crate::observation::Observation;
use crate::permits::PermitUse;
use crate::shared::Shared;
use crate::snapshot::{ServiceView, WarmProof};

/// Advice to callers when no target has room.
const RETRY_AFTER_SHED: Duration = Duration::from_millis(200);

/// Longest wait for a proof that the registers in force are the newest.
const VALIDITY_WAIT: Duration = Duration::from_secs(2);
/// Pause between looks at the validity.
const VALIDITY_POLL: Duration = Duration::from_millis(5);

/// Sends requests to targets.
#[derive(Debug)]
pub(crate) struct Forward {
    shared: Arc<Shared>,
    client: BackendClient,
    selector: TwoChoices,
    cold: ColdPath,
}

/// A target for one try.
#[derive(Debug)]
struct Choice {
    view: Arc<ServiceView>,
    index: usize,
    permit: Option<PermitUse>,
}

impl Choice {
    /// Ends a choice of which nothing was sent.
    fn give_back(self) {
        if let Some(permit) = self.permit {
            permit.end_not_run();
        }
    }
}

impl Forward {
    /// Makes the end of a chain.
    pub(crate) fn new(shared: Arc<Shared>, client: BackendClient) -> Self {
        let cold = ColdPath::new(Arc::clone(&shared));
        Self { shared, client, selector: TwoChoices::default(), cold }
    }

    /// Offers the request to one target after the other until one answers.
    async fn attempts(&self, ex: &mut Exchange) -> Reply {
        ex.service.budget.record_call();
        let queue_until = self.shared.clock.now() + ex.service.service.queue_wait;
        let queue_until = queue_until.min(ex.deadline);
        let mut tried = AttemptedTargets::default();
        let mut last: Option<Failure> = None;
        loop {
            let now = self.shared.clock.now();
            if now >= ex.deadline {
                let detail = "the deadline passed before a target took the request";
                return Err(Failure::new(ErrorKind::DeadlinePassed, detail));
            }
            if let Err(failure) = self.refresh(ex, &mut tried).await {
                return Err(last.unwrap_or(failure));
            }
            let may_wait = last.is_none().then_some(queue_until);
            let choice = match self.choose(ex, &mut tried, may_wait).await {
                Ok(choice) => choice,
                Err(failure) => return Err(last.unwrap_or(failure)),
            };
            if !self.is_present(&choice) {
                choice.give_back();
                continue;
            }
            tried.insert(choice.index);
            match self.attempt(ex, choice).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let (failure, cause) = failure(error);
                    let now = self.shared.clock.now();
                    if !ex.service.budget.try_retry(cause, ex.is_safe(), now) {
                        return Err(failure);
                    }
                    last = Some(failure);
                }
            }
        }
    }

    /// Takes the present view; waits a while for a proof that it is the newest.
    ///
    /// Targets that were tried are forgotten when the view changed, as its order may differ.
    async fn refresh(
        &self,
        ex: &mut Exchange,
        tried: &mut AttemptedTargets,
    ) -> Result<(), Failure> {
        let begun = self.shared.clock.now();
        let until = ex.deadline.min(begun + VALIDITY_WAIT);
        while !self.shared.validity.holds(self.shared.clock.now()) {
            if self.shared.clock.now() >= until {
                let detail = "neither the store nor another gateway confirms the configuration";
                let failure = Failure::new(ErrorKind::NotReady, detail);
                return Err(failure.retry_after(RETRY_AFTER_SHED));
            }
            tokio::time::sleep(VALIDITY_POLL).await;
        }
        let view = self.shared.view();
        let Some(present) = view.service(&ex.service.service.name) else {
            return Err(Failure::new(ErrorKind::NoRoute, "the service was removed"));
        };
        if !Arc::ptr_eq(present, &ex.service) {
            ex.service = Arc::clone(present);
            *tried = AttemptedTargets::default();
        }
        Ok(())
    }

    /// Returns whether a choice comes from the present view, and the view may be relied on.
    fn is_present(&self, choice: &Choice) -> bool {
        let snapshot = self.shared.view();
        let present = snapshot.service(&choice.view.service.name);
        present.is_some_and(|present| Arc::ptr_eq(present, &choice.view))
            && self.shared.validity.holds(self.shared.clock.now())
    }

    /// Chooses a target; with `queue_until` the request may wait for a cold one.
    async fn choose(
        &self,
        ex: &mut Exchange,
        tried: &mut AttemptedTargets,
        queue_until: Option<Tick>,
    ) -> Result<Choice, Failure> {
        loop {
            let view = Arc::clone(&ex.service);
            if let Some(choice) = self.cold.warm_another(ex, &view, tried).await {
                return Ok(choice);
            }
            let now = self.shared.clock.now();
            let selection = self.selector.select(&view.pool, tried, now, &mut rand::rng());
            let failure = match selection {
                Selection::Warm(index) if view.proof(index).is_some() => {
                    return Ok(Choice { view, index, permit: None });
                }
                Selection::Warm(index) => {
                    tried.insert(index);
                    continue;
                }
                Selection::Cold(index) => {
                    let until = queue_until.unwrap_or(now);
                    if let Some(permit) = self.cold.permit(&view, index, until).await {
                        return Ok(Choice { view, index, permit: Some(permit) });
                    }
                    tried.insert(index);
                    continue;
                }
                none_left => no_target(none_left, &view),
            };
            let Some(until) = queue_until.filter(|until| now < *until) else {
                return Err(failure);
            };
            if !self.cold.wait_for_change(ex, until).await {
                return Err(failure);
            }
            *tried = AttemptedTargets::default();
        }
    }

    async fn attempt(
        &self,
        ex: &mut Exchange,
        choice: Choice,
    ) -> Result<BackendResponse, SendError> {
        let Choice { view, index, permit } = choice;
        let candidate = view.pool.candidate(index);
        if let Some(key) = &ex.key {
            log::debug!("order {key} goes to {}", candidate.target.name);
        }
        let in_flight = candidate.load.begin_request();
        ex.sent_to = Some(candidate.target.name.clone());
        let proof = view.proof(index);
        let liveness = proof.map(|proof| Arc::clone(&proof.liveness));
        let begun = self.shared.clock.now();
        if !may_send(permit.as_ref(), proof, begun) {
            if let Some(permit) = permit {
                permit.end_not_run();
            }
            return Err(SendError::NotSent("the target may not be sent to now".to_string()));
        }
        let run_limit = permit.as_ref().map(|cold| begun + cold.permit.run_limit);
        let deadline = run_limit.map_or(ex.deadline, |limit| limit.min(ex.deadline));
        let send = self.client.send(ex, candidate, deadline, begun);
        let guard = liveness.filter(|_| permit.is_none());
        let sent = connect_guard::guarded(guard, send).await;
        let now = self.shared.clock.now();
        ex.upstream_time += now.since(begun);
        self.cold.report(candidate, &sent, permit.as_ref(), proof, begun);
        if let Some(run) = draining_run(&sent).cloned() {
            let target = candidate.target.name.clone();
            self.shared.observe(Observation::Draining { target, run, asked_at: begun });
        }
        match sent {
            Ok(sent) => {
                candidate.load.record_response(now);
                let ends_at = tokio::time::Instant::now() + deadline.since(now);
                let permit = permit.map(|permit_use| ColdPermitUse { permit_use, ends_at });
                Ok(sent.into_response(in_flight, permit))
            }
            Err(error) => {
                let has_ended = !matches!(error, SendError::Unknown(..));
                let was_cold = permit.is_some();
                if let Some(permit) = permit.filter(|_| has_ended) {
                    permit.end_not_run();
                }
                match &error {
                    SendError::Shed { .. } => in_flight.end_shed(now),
                    SendError::NotSent(_) => {
                        in_flight.end_unreachable(now, rand::rng().next_u64());
                    }
                    SendError::Unknown(..) if was_cold => {
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
        self.attempts(ex).await
    }
}

/// Returns the run that said in its answer that it drains.
fn draining_run(sent: &Result<ResponseHead, SendError>) -> Option<&RunId> {
    match sent {
        Ok(sent) => sent.draining.as_ref(),
        Err(SendError::Shed { draining, .. }) => draining.as_ref(),
        Err(_) => None,
    }
}

/// Returns what the caller is told of a failed try, and its cause as the retry rules see it.
fn failure(error: SendError) -> (Failure, budget::AttemptFailure) {
    match error {
        SendError::NotSent(detail) => {
            (Failure::new(ErrorKind::ConnectFailed, detail), budget::AttemptFailure::NotSent)
        }
        SendError::Shed { .. } => {
            let detail = "the targets that were tried refused the request";
            let failure = Failure::new(ErrorKind::Shed, detail).retry_after(RETRY_AFTER_SHED);
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

/// Returns whether a request may be sent at `now`, under its permit or by the proof of warmth.
fn may_send(permit: Option<&PermitUse>, proof: Option<&WarmProof>, now: Tick) -> bool {
    permit.map_or(proof.is_some(), |cold| cold.permit.may_send(now))
}

fn no_target(selection: Selection, view: &ServiceView) -> Failure {
    let is_cold = view.pool.warm().is_empty() && !view.pool.cold().is_empty();
    let (kind, detail) = match selection {
        Selection::Exhausted if is_cold => (ErrorKind::OnlyColdTargets, "all targets are starting"),
        Selection::Unreachable => (ErrorKind::ConnectFailed, "all targets refuse connections"),
        _ => (ErrorKind::NoTarget, "no target may receive new work"),
    };
    Failure::new(kind, detail).retry_after(RETRY_AFTER_SHED)
}
