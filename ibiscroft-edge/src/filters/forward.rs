//! Sends a request to targets until one answers or the rules allow no further send.

use std::io::ErrorKind;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{AttemptOutcome, ExpectedCapacity, Hold, ProbeReport, Target};
use ibiscroft_core::ids::TargetName;

use super::Handler;
use super::select::{Chosen, NoneChosen, select};
use super::send::{SendError, send};
use crate::dialect::{Dialect, Refusal};
use crate::events::event;
use crate::exchange::Exchange;
use crate::link::Link;
use crate::reply::{Answer, Failure, FailureKind, Reply};
use crate::shared::Shared;

/// Time after the deadline in which an answer that is on its way is still waited for.
const LATE_ANSWER: Duration = Duration::from_millis(100);
/// Longest wait for a connection to a target that lost a request.
const LOOK_TIMEOUT: Duration = Duration::from_millis(150);
/// Connections that may turn out closed before a request was handed to any.
const MAX_UNSENT: u32 = 3;
/// When targets that are full or cannot be reached may have room: a fraction of the time that a
/// request runs.
const LATER: ExpectedCapacity = ExpectedCapacity::After(Duration::from_millis(100));

/// Sends requests to targets.
#[derive(Debug)]
pub(crate) struct Forward<D> {
    shared: Arc<Shared>,
    dialect: PhantomData<fn() -> D>,
}

/// Sends of one request so far.
#[derive(Default)]
struct Progress {
    tried: Vec<TargetName>,
    sent: u32,
    unsent: u32,
    /// The failure of the last send that may have run.
    may_have_run: Option<Failure>,
    /// A target's own failure, which the caller gets if no other target does better.
    failed_answer: Option<Answer>,
}

impl Progress {
    /// Returns what the caller is told: the answer of a target that failed the request, if any; a
    /// request that may have run is never said not to have.
    fn honest(&mut self, failure: Failure) -> Reply {
        if let Some(answer) = self.failed_answer.take() {
            return Ok(answer);
        }
        match self.may_have_run.take() {
            Some(earlier) if failure.kind.is_unrun() => Err(earlier),
            _ => Err(failure),
        }
    }
}

impl<D: Dialect> Forward<D> {
    /// Makes the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, dialect: PhantomData }
    }

    async fn attempts(&self, ex: &Exchange, progress: &mut Progress) -> Reply {
        let shared = &self.shared;
        let terms = shared.retry_terms();
        shared.local().window(&ex.service, terms).note_request(shared.clock.now());
        let mut last = None;
        loop {
            let chosen = match select::<D>(shared, ex, &progress.tried).await {
                Ok(chosen) => chosen,
                Err(none) => {
                    let failure = last.unwrap_or_else(|| self.no_target(ex, &none));
                    return progress.honest(failure);
                }
            };
            if progress.tried.is_empty()
                && let Some(wait) = self.hold(ex, &chosen.report)
            {
                log_hold(ex, &chosen, wait);
                shared.metrics.held.inc();
                let Chosen { target, link, .. } = chosen;
                shared.pool.put(&target.name, link);
                tokio::time::sleep(wait).await;
                continue;
            }
            if let Some(failure) = self.too_late(ex, &chosen) {
                let Chosen { target, link, .. } = chosen;
                shared.pool.put(&target.name, link);
                return progress.honest(last.unwrap_or(failure));
            }
            let room = if chosen.report.has_free_slot() { ExpectedCapacity::Now } else { LATER };
            let error = match self.attempt(ex, chosen, progress).await {
                Ok(answer) if self.may_do_better(ex, &answer, progress) => {
                    log_failed_answer(ex, &answer, progress);
                    progress.failed_answer = Some(answer);
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let may_repeat = match &error {
                SendError::NotSent(_) => progress.unsent <= MAX_UNSENT,
                SendError::Refused(_) => self.may_send_again(ex, progress),
                SendError::Lost(_) => {
                    ex.route.repeatable.is_repeatable() && self.may_send_again(ex, progress)
                }
                SendError::TimedOut => false,
            };
            let failure = self.failure(ex, error, room);
            if !failure.kind.is_unrun() {
                progress.may_have_run = Some(failure.clone());
            }
            if !may_repeat || shared.clock.now() >= ex.deadline {
                return progress.honest(failure);
            }
            last = Some(failure);
        }
    }

    async fn attempt(
        &self,
        ex: &Exchange,
        chosen: Chosen,
        progress: &mut Progress,
    ) -> Result<Answer, SendError> {
        let shared = &self.shared;
        let target = chosen.target.clone();
        let name = target.name.clone();
        let report = chosen.report;
        progress.tried.push(name.clone());
        let began = shared.clock.now();
        log_send(ex, &chosen, progress, began);
        let sent = send::<D>(shared, ex, chosen, ex.deadline + LATE_ANSWER).await;
        let now = shared.clock.now();
        let verdict = match &sent {
            Ok(answer) if answer.status.is_server_error() => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Succeeded,
            Err(SendError::Refused(_)) => AttemptOutcome::Refused,
            Err(SendError::NotSent(_)) => AttemptOutcome::Unreachable,
            Err(_) => AttemptOutcome::Failed,
        };
        let mut local = shared.local();
        local.note(now, &name, verdict);
        if verdict == AttemptOutcome::Succeeded {
            local.note_time(&ex.kind, now.since(began), &report);
        }
        let is_lost = matches!(sent, Err(SendError::Lost(_)));
        if is_lost {
            local.suspects.note_lost(now, ex.fingerprint, &target);
        }
        drop(local);
        if is_lost {
            tokio::spawn(look_after(Arc::clone(shared), target));
        }
        match &sent {
            Err(SendError::NotSent(_)) => progress.unsent += 1,
            _ => progress.sent += 1,
        }
        if let Err(error) = &sent {
            let reason = reason(error);
            shared.metrics.send_failures.with_label_values(&[reason]).inc();
            event!(
                SendFailed,
                "req={} target={name} reason={reason} ms={} detail={error:?}",
                ex.request_id,
                now.since(began).as_millis(),
            );
        }
        sent
    }

    /// Returns whether another target is asked to run a request that one failed; takes the further
    /// send.
    fn may_do_better(&self, ex: &Exchange, answer: &Answer, progress: &Progress) -> bool {
        let left = ex.deadline.since(self.shared.clock.now());
        let usual = self.shared.local().usual_time(&ex.kind).unwrap_or_default();
        answer.status.is_server_error()
            && ex.route.repeatable.is_repeatable()
            && usual < left
            && self.may_send_again(ex, progress)
    }

    /// Takes a further send from the route's and the fleet's allowance.
    fn may_send_again(&self, ex: &Exchange, progress: &Progress) -> bool {
        if progress.sent >= ex.route.max_attempts {
            return false;
        }
        let shared = &self.shared;
        let gateways = shared.gateways();
        let now = shared.clock.now();
        shared.local().window(&ex.service, shared.retry_terms()).try_retry(now, gateways, 0.0)
    }

    /// Returns the refusal of a request that the best target would answer too late.
    ///
    /// A request that would come late and delay others is refused while the caller can still come
    /// back; one that finds a free slot and delays nobody is served.
    fn too_late(&self, ex: &Exchange, chosen: &Chosen) -> Option<Failure> {
        let now = self.shared.clock.now();
        let local = self.shared.local();
        let usual = local.usual_time(&ex.kind)?;
        let crowding = local.crowding(&ex.service);
        drop(local);
        let expected = usual.mul_f64(chosen.report.cost(crowding));
        let left = ex.deadline.since(now);
        let aim_left = (ex.received + ex.route.aim).since(now);
        let limit = chosen.report.max_useful_latency(crowding, aim_left, left);
        if expected <= limit {
            return None;
        }
        let ProbeReport { running, waiting, slots, slowness, .. } = chosen.report;
        let detail = format!(
            "the best target would take {} ms of {} ms: running={running} waiting={waiting} \
             slots={slots} slowness={slowness:.2}",
            expected.as_millis(),
            limit.as_millis(),
        );
        let back = retry_after(ExpectedCapacity::After(expected.saturating_sub(limit)), left);
        Some(Failure::new(FailureKind::Overloaded, detail).retry_after(back))
    }

    /// Returns how long a request waits for a better target than the best one.
    fn hold(&self, ex: &Exchange, best: &ProbeReport) -> Option<Duration> {
        let shared = &self.shared;
        if !shared.probes_are_ample() {
            return None;
        }
        let local = shared.local();
        let hold = Hold {
            aim_at: ex.received + ex.route.aim,
            deadline: ex.deadline,
            baseline_latency: local.usual_time(&ex.kind)?,
            slowdown: local.crowding(&ex.service),
        };
        drop(local);
        hold.delay(shared.clock.now(), best)
    }

    fn no_target(&self, ex: &Exchange, none: &NoneChosen) -> Failure {
        let left = ex.deadline.since(self.shared.clock.now());
        let detail = format!("usable={} asked={}, none can be sent to", none.usable, none.asked);
        Failure::new(FailureKind::NoTarget, detail).retry_after(retry_after(LATER, left))
    }

    /// Returns what the caller is told of a send that brought no answer; `room` is what the target
    /// had stated before.
    fn failure(&self, ex: &Exchange, error: SendError, room: ExpectedCapacity) -> Failure {
        let left = ex.deadline.since(self.shared.clock.now());
        let back = retry_after(LATER, left);
        match error {
            SendError::NotSent(detail) => {
                Failure::new(FailureKind::NoTarget, detail).retry_after(back)
            }
            SendError::Refused(refusal) => {
                let detail = match (refusal, room) {
                    (Refusal::Shed, ExpectedCapacity::Now) => {
                        "the targets that were tried refused, not full"
                    }
                    (Refusal::Shed, ExpectedCapacity::After(_)) => {
                        "the targets that were tried are full"
                    }
                    (Refusal::WrongTarget, _) => "the target's address belongs to another one",
                };
                Failure::new(FailureKind::Shed, detail).retry_after(retry_after(room, left))
            }
            SendError::Lost(detail) => Failure::new(FailureKind::AnswerLost, detail),
            SendError::TimedOut => {
                let ms = ex.route.timeout.as_millis();
                let detail = format!("no answer before the deadline; the route allows {ms} ms");
                Failure::new(FailureKind::TimedOut, detail)
            }
        }
    }
}

impl<D: Dialect> Handler for Forward<D> {
    async fn handle(&self, ex: &Exchange) -> Reply {
        let limit = self.shared.clock.instant(ex.deadline + LATE_ANSWER);
        let mut progress = Progress::default();
        match tokio::time::timeout_at(limit, self.attempts(ex, &mut progress)).await {
            Ok(reply) => reply,
            Err(_) => progress.honest(self.failure(ex, SendError::TimedOut, LATER)),
        }
    }
}

/// Returns when a caller with `left` time may come back.
fn retry_after(room: ExpectedCapacity, left: Duration) -> Duration {
    room.retry_after(left, rand::random())
}

/// Finds out whether the process of a target that lost a request has ended.
async fn look_after(shared: Arc<Shared>, target: Target) {
    let opened = tokio::time::timeout(LOOK_TIMEOUT, Link::open(target.address)).await;
    match opened {
        Ok(Ok(link)) => shared.pool.put(&target.name, link),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            let now = shared.clock.now();
            let hints = shared.local().suspects.note_ended(now, &target);
            shared.tell(hints);
        }
        Ok(Err(error)) => log::debug!("target {} after a loss: {error}", target.name),
        Err(_) => log::debug!("target {} is silent after a loss", target.name),
    }
}

fn log_failed_answer(ex: &Exchange, answer: &Answer, progress: &Progress) {
    let target = progress.tried.last().map_or("", |name| name.as_str());
    let status = answer.status.as_u16();
    event!(SendFailed, "req={} target={target} reason=failed status={status}", ex.request_id);
}

fn log_hold(ex: &Exchange, best: &Chosen, wait: Duration) {
    let Chosen { target, report, cost, asked, .. } = best;
    let ProbeReport { running, waiting, slots, slowness, .. } = report;
    event!(
        RequestHeld,
        "req={} service={} best={} asked={asked} cost={cost:.2} running={running} \
         waiting={waiting} slots={slots} slowness={slowness:.2} for_ms={}",
        ex.request_id,
        ex.service,
        target.name,
        wait.as_millis(),
    );
}

fn log_send(ex: &Exchange, chosen: &Chosen, progress: &Progress, now: Tick) {
    let Chosen { target, report, cost, asked, .. } = chosen;
    let ProbeReport { running, waiting, slots, slowness, .. } = report;
    event!(
        RequestSent,
        "req={} route={} version={} service={} target={} zone={} attempt={} asked={asked} \
         cost={cost:.2} running={running} waiting={waiting} slots={slots} slowness={slowness:.2} \
         waited_ms={} left_ms={}",
        ex.request_id,
        ex.route.name,
        ex.version,
        ex.service,
        target.name,
        target.zone,
        progress.sent + 1,
        now.since(ex.received).as_millis(),
        ex.deadline.since(now).as_millis(),
    );
}

fn reason(error: &SendError) -> &'static str {
    match error {
        SendError::NotSent(_) => "not_sent",
        SendError::Refused(Refusal::Shed) => "shed",
        SendError::Refused(Refusal::WrongTarget) => "wrong_target",
        SendError::Lost(_) => "lost",
        SendError::TimedOut => "timed_out",
    }
}
