//! The end of the chain: selects targets, sends the request and checks the answer.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::ids::TargetName;
use ibiscroft_wire::ErrorKind;
use rand::Rng;

use crate::backend_client::{BackendClient, SendError, Sent};
use crate::exchange::{Exchange, Failure, Reply};
use crate::filters::Handler;
use crate::observation::Observation;
use crate::shared::Shared;
use crate::snapshot::{ServiceView, TargetView};

/// Targets that one request is offered to at the most.
const MAX_ATTEMPTS: usize = 4;
/// Advice to callers when no target has room.
const RETRY_AFTER_SHED: Duration = Duration::from_millis(200);

/// Sends requests to targets.
#[derive(Debug)]
pub(crate) struct Forward {
    shared: Arc<Shared>,
    client: BackendClient,
}

impl Forward {
    /// Makes the end of a chain.
    pub(crate) fn new(shared: Arc<Shared>, client: BackendClient) -> Self {
        Self { shared, client }
    }

    async fn attempts(&self, ex: &mut Exchange) -> Reply {
        let service = Arc::clone(&ex.service);
        let mut tried: Vec<TargetName> = Vec::new();
        let mut last = Failure::new(ErrorKind::NoTarget, "no target may receive new work");
        while tried.len() < MAX_ATTEMPTS {
            if self.shared.clock.now() >= ex.deadline {
                let detail = "the deadline passed before a target took the request";
                return Err(Failure::new(ErrorKind::DeadlinePassed, detail));
            }
            let Some(view) = select(&service, &tried) else {
                return Err(last);
            };
            tried.push(view.target.name.clone());
            match self.attempt(ex, view).await {
                Ok(sent) => return Ok(sent.answer),
                Err(error) => last = self.after_error(ex, view, error)?,
            }
        }
        Err(last)
    }

    async fn attempt(&self, ex: &mut Exchange, view: &TargetView) -> Result<Sent, SendError> {
        if let Some(key) = &ex.key {
            log::debug!("order {key} goes to {}", view.target.name);
        }
        let guard = view.counters.begin();
        let begun = self.shared.clock.now();
        ex.sent_to = Some(view.target.name.clone());
        let sent = self.client.send(ex, view, guard, self.shared.clock).await;
        ex.upstream_time += self.shared.clock.now().since(begun);
        if let Ok(sent) = &sent {
            self.observe_answer(view, sent);
        }
        sent
    }

    /// Decides whether another target may be tried; returns the failure to report if none is left.
    fn after_error(
        &self,
        ex: &Exchange,
        view: &TargetView,
        error: SendError,
    ) -> Result<Failure, Failure> {
        let target = view.target.name.clone();
        match error {
            SendError::NotSent(detail) => {
                self.shared.observe(Observation::Unreachable { target });
                Ok(Failure::new(ErrorKind::ConnectFailed, detail))
            }
            SendError::Shed { draining } => {
                if draining {
                    self.observe_leaving(view);
                }
                let detail = "the targets that were tried refused the request";
                Ok(Failure::new(ErrorKind::Shed, detail).retry_after(RETRY_AFTER_SHED))
            }
            SendError::Unknown(kind, detail) => {
                let failure = Failure::new(kind, detail);
                if ex.is_safe() && kind != ErrorKind::AnswerTimeout {
                    return Ok(failure);
                }
                Err(failure)
            }
        }
    }

    fn observe_answer(&self, view: &TargetView, sent: &Sent) {
        if sent.draining {
            self.observe_leaving(view);
        }
    }

    fn observe_leaving(&self, view: &TargetView) {
        if !view.counters.set_leaving(true) {
            let target = view.target.name.clone();
            self.shared.observe(Observation::Draining { target });
        }
    }
}

impl Handler for Forward {
    async fn handle(&self, ex: &mut Exchange) -> Reply {
        self.attempts(ex).await
    }
}

/// Chooses the less loaded of two random eligible targets that were not tried yet.
///
/// At equal load, the gateway's own availability zone comes first.
fn select<'a>(service: &'a ServiceView, tried: &[TargetName]) -> Option<&'a TargetView> {
    let targets = &service.targets;
    let mut rng = rand::rng();
    let eligible = |view: &&TargetView| view.is_eligible() && !tried.contains(&view.target.name);
    let count = targets.iter().filter(eligible).count();
    if count == 0 {
        return None;
    }
    let first = targets.iter().filter(eligible).nth(rng.random_range(0..count))?;
    let second = targets.iter().filter(eligible).nth(rng.random_range(0..count))?;
    let first_load = first.counters.in_flight() * second.target.slots.get();
    let second_load = second.counters.in_flight() * first.target.slots.get();
    let second_is_near = second.target.zone == service.own_zone;
    let second_wins = second_load < first_load || (second_load == first_load && second_is_near);
    Some(if second_wins { second } else { first })
}
