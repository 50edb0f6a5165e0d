//! The end of the chain: selects targets, sends the request and checks the answer.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::budget;
use ibiscroft_core::ids::RunId;
use ibiscroft_core::selection::{Candidate, Selection, Selector, Tried, TwoChoices};
use ibiscroft_wire::ErrorKind;
use rand::RngCore;

use crate::backend_client::{BackendClient, SendError, Sent};
use crate::exchange::{Answer, Exchange, Failure, Reply};
use crate::filters::Handler;
use crate::observation::Observation;
use crate::shared::Shared;

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
}

impl Forward {
    /// Makes the end of a chain.
    pub(crate) fn new(shared: Arc<Shared>, client: BackendClient) -> Self {
        Self { shared, client, selector: TwoChoices::default() }
    }

    /// Offers the request to one target after the other until one answers.
    async fn attempts(&self, ex: &mut Exchange) -> Reply {
        ex.service.budget.note_call();
        let mut tried = Tried::default();
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
            let service = Arc::clone(&ex.service);
            let now = self.shared.clock.now();
            let selection = self.selector.select(&service.pool, &tried, now, &mut rand::rng());
            let index = match selection {
                Selection::Warm(index) => index,
                none_left => return Err(last.unwrap_or_else(|| no_target(none_left))),
            };
            tried.insert(index);
            match self.attempt(ex, service.pool.candidate(index)).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let (failure, cause) = failure(error);
                    let now = self.shared.clock.now();
                    if !service.budget.try_again(cause, ex.is_safe(), now) {
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
    async fn refresh(&self, ex: &mut Exchange, tried: &mut Tried) -> Result<(), Failure> {
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
            *tried = Tried::default();
        }
        Ok(())
    }

    async fn attempt(&self, ex: &mut Exchange, candidate: &Candidate) -> Result<Answer, SendError> {
        if let Some(key) = &ex.key {
            log::debug!("order {key} goes to {}", candidate.target.name);
        }
        let in_flight = candidate.load.begin();
        let begun = self.shared.clock.now();
        ex.sent_to = Some(candidate.target.name.clone());
        let sent = self.client.send(ex, candidate, begun).await;
        let now = self.shared.clock.now();
        ex.upstream_time += now.since(begun);
        if let Some(run) = draining_run(&sent).cloned() {
            let target = candidate.target.name.clone();
            self.shared.observe(Observation::Draining { target, run, asked_at: begun });
        }
        match sent {
            Ok(sent) => {
                candidate.load.note_answer(now);
                Ok(sent.into_answer(in_flight))
            }
            Err(error) => {
                match &error {
                    SendError::Shed { .. } => in_flight.end_shed(now),
                    SendError::NotSent(_) => {
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
fn draining_run(sent: &Result<Sent, SendError>) -> Option<&RunId> {
    match sent {
        Ok(sent) => sent.draining.as_ref(),
        Err(SendError::Shed { draining }) => draining.as_ref(),
        Err(_) => None,
    }
}

/// Returns what the caller is told of a failed try, and its cause as the retry rules see it.
fn failure(error: SendError) -> (Failure, budget::Failure) {
    match error {
        SendError::NotSent(detail) => {
            (Failure::new(ErrorKind::ConnectFailed, detail), budget::Failure::NotSent)
        }
        SendError::Shed { .. } => {
            let detail = "the targets that were tried refused the request";
            let failure = Failure::new(ErrorKind::Shed, detail).retry_after(RETRY_AFTER_SHED);
            (failure, budget::Failure::Shed)
        }
        SendError::Unknown(ErrorKind::AnswerTimeout, detail) => {
            (Failure::new(ErrorKind::AnswerTimeout, detail), budget::Failure::TimedOut)
        }
        SendError::Unknown(kind, detail) => (Failure::new(kind, detail), budget::Failure::Lost),
    }
}

fn no_target(selection: Selection) -> Failure {
    let (kind, detail) = match selection {
        Selection::Cold(_) => (ErrorKind::OnlyColdTargets, "all targets are starting"),
        Selection::Unreachable => (ErrorKind::ConnectFailed, "all targets refuse connections"),
        _ => (ErrorKind::NoTarget, "no target may receive new work"),
    };
    Failure::new(kind, detail).retry_after(RETRY_AFTER_SHED)
}
