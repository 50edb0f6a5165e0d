//! Forwards a request to targets until one responds or no further attempt is allowed.

mod attempt_log;
mod progress;

use std::io::ErrorKind;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    AttemptOutcome, ExpectedCapacity, Hold, ProbeReport, Standing, Target, retry_after_rest,
};

use self::attempt_log::{log_attempt, log_error_response, log_hold};
use self::progress::Progress;
use super::Handler;
use super::select::{NoTargetSelected, SelectedTarget, select};
use super::send::{SendError, send};
use crate::connection::TargetConnection;
use crate::dialect::{Dialect, Refusal};
use crate::events::event;
use crate::exchange::Exchange;
use crate::reply::{Failure, FailureKind, Reply, TargetResponse};
use crate::shared::Shared;

/// Time after the deadline during which a response that may be on its way is still awaited.
pub(super) const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Timeout of the connection attempt that checks whether a target still runs after it lost a
/// request.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Cost of a target that reset a connection because it is full, by which it is tried later for a
/// short time; clearly above the cost from which a target counts as slow.
const FULL_TARGET_COST: f64 = 5.0;
/// Maximum number of attempts that fail before any byte is sent and are followed by another one;
/// they count neither as attempts of the route nor against the retry budget.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// When targets that are full or cannot be reached are expected to have free capacity; a fraction
/// of the time that a request takes.
const CAPACITY_LATER: ExpectedCapacity = ExpectedCapacity::After(Duration::from_millis(100));

/// Last filter: forwards requests to targets.
#[derive(Debug)]
pub(crate) struct Forward<D> {
    shared: Arc<Shared>,
    dialect: PhantomData<fn() -> D>,
}

impl<D: Dialect> Forward<D> {
    /// Creates the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, dialect: PhantomData }
    }

    /// Selects targets and makes attempts until the outcome of the request is known.
    async fn run_attempts(&self, ex: &Exchange, progress: &mut Progress) -> Reply {
        let shared = &self.shared;
        let limits = shared.retry_limits();
        shared.traffic().retry_window(&ex.service, limits).note_request(shared.clock.now());
        let standing = shared.note_rank(ex);
        let mut last_failure = None;
        loop {
            let selected = match select::<D>(shared, ex, &progress.attempted).await {
                Ok(selected) => selected,
                Err(error) => {
                    let failure =
                        last_failure.unwrap_or_else(|| self.no_target_failure(ex, &error));
                    return progress.final_reply(failure);
                }
            };
            if progress.attempted.is_empty()
                && let Some(delay) = self.hold_delay(ex, &selected.report, standing)
            {
                log_hold(ex, &selected, delay);
                shared.metrics.holds.inc();
                let SelectedTarget { target, connection, .. } = selected;
                shared.pool.put(&target.name, connection);
                tokio::time::sleep(delay).await;
                continue;
            }
            if let Some(failure) = self.overload_failure(ex, &selected) {
                let SelectedTarget { target, connection, .. } = selected;
                shared.pool.put(&target.name, connection);
                return progress.final_reply(last_failure.unwrap_or(failure));
            }
            let capacity = if selected.report.has_free_slot() {
                ExpectedCapacity::Now
            } else {
                CAPACITY_LATER
            };
            let error = match self.attempt(ex, selected, progress).await {
                Ok(response) if self.try_replace_error_response(ex, &response, progress) => {
                    log_error_response(ex, &response, progress);
                    progress.error_response = Some(response);
                    continue;
                }
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let may_retry = match &error {
                SendError::NotSent(_) => progress.unsent <= MAX_UNSENT_ATTEMPTS,
                SendError::Refused(_) => self.try_take_retry(ex, progress),
                SendError::Lost(_) | SendError::Reset(_) => {
                    ex.route.repeatable.is_repeatable() && self.try_take_retry(ex, progress)
                }
                SendError::TimedOut => false,
            };
            let failure = self.attempt_failure(ex, error, capacity);
            if !failure.kind.guarantees_not_run() {
                progress.possibly_run = Some(failure.clone());
            }
            if !may_retry || shared.clock.now() >= ex.deadline {
                return progress.final_reply(failure);
            }
            last_failure = Some(failure);
        }
    }

    /// Makes one attempt, and records and logs its outcome.
    async fn attempt(
        &self,
        ex: &Exchange,
        selected: SelectedTarget,
        progress: &mut Progress,
    ) -> Result<TargetResponse, SendError> {
        let shared = &self.shared;
        let target = selected.target.clone();
        let name = target.name.clone();
        let SelectedTarget { report, reported_at, .. } = selected;
        progress.attempted.push(name.clone());
        let started = shared.clock.now();
        log_attempt(ex, &selected, progress, started);
        let result = send::<D>(shared, ex, selected, ex.deadline + LATE_RESPONSE_GRACE).await;
        let now = shared.clock.now();
        let outcome = match &result {
            Ok(response) if response.status.is_server_error() => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Succeeded,
            Err(SendError::Refused(_)) => AttemptOutcome::Refused,
            Err(SendError::NotSent(_)) => AttemptOutcome::Unreachable,
            Err(_) => AttemptOutcome::Failed,
        };
        let is_full = shared.has_pool_feature
            && matches!(result, Err(SendError::Reset(_)))
            && report.may_be_full(started.since(reported_at));
        let mut traffic = shared.traffic();
        if is_full {
            traffic.record_cost(now, &name, FULL_TARGET_COST);
        } else {
            traffic.record_outcome(now, &name, outcome);
        }
        if outcome == AttemptOutcome::Succeeded {
            traffic.record_latency(&ex.latency_class, now.since(started), &report);
        }
        let is_lost = matches!(result, Err(SendError::Lost(_) | SendError::Reset(_)));
        if is_lost {
            traffic.suspects.record_connection_lost(now, ex.fingerprint, &target);
        }
        drop(traffic);
        if matches!(result, Err(SendError::Refused(Refusal::WrongTarget))) {
            shared.note_absent(&target);
        }
        if is_lost {
            tokio::spawn(check_liveness(Arc::clone(shared), target));
        }
        match &result {
            Err(SendError::NotSent(_)) => progress.unsent += 1,
            _ => progress.sent += 1,
        }
        if let Err(error) = &result {
            let reason = failure_reason(error);
            shared.metrics.send_failures.with_label_values(&[reason]).inc();
            event!(
                SendFailed,
                "req={} target={name} reason={reason} ms={} full={is_full} detail={error:?}",
                ex.log_id(),
                now.since(started).as_millis(),
            );
        }
        result
    }

    /// Returns whether a request that a target answered with a server error is retried at another
    /// target; if so, the retry is taken from the budget.
    fn try_replace_error_response(
        &self,
        ex: &Exchange,
        response: &TargetResponse,
        progress: &Progress,
    ) -> bool {
        let left = ex.deadline.since(self.shared.clock.now());
        let baseline =
            self.shared.traffic().baseline_latency(&ex.latency_class).unwrap_or_default();
        response.status.is_server_error()
            && ex.route.repeatable.is_repeatable()
            && baseline < left
            && self.try_take_retry(ex, progress)
    }

    /// Returns whether the route's maximum number of attempts and the fleet's retry budget allow
    /// another attempt; if so, the retry is taken from the budget.
    fn try_take_retry(&self, ex: &Exchange, progress: &Progress) -> bool {
        if progress.sent >= ex.route.max_attempts {
            return false;
        }
        let shared = &self.shared;
        let gateways = shared.gateway_count();
        let now = shared.clock.now();
        shared
            .traffic()
            .retry_window(&ex.service, shared.retry_limits())
            .try_retry(now, gateways, 0.0)
    }

    /// Returns the failure of a request that the selected target is expected to answer too late,
    /// `None` if the request is to be sent.
    ///
    /// A request that would miss the route's latency objective and delay others is refused while
    /// the caller has time to retry. A request that finds a free slot and delays no others is sent
    /// as long as it is expected to complete before its deadline.
    fn overload_failure(&self, ex: &Exchange, selected: &SelectedTarget) -> Option<Failure> {
        let now = self.shared.clock.now();
        let traffic = self.shared.traffic();
        let baseline = traffic.baseline_latency(&ex.latency_class)?;
        let slowdown = traffic.slowdown(&ex.service);
        drop(traffic);
        let expected = baseline.mul_f64(selected.report.cost(slowdown));
        let left = ex.deadline.since(now);
        let aim_left = (ex.received + ex.route.aim).since(now);
        let limit = selected.report.max_useful_latency(slowdown, aim_left, left);
        if expected <= limit {
            return None;
        }
        let ProbeReport { running, waiting, slots, slowness, .. } = selected.report;
        let detail = format!(
            "the best target would take {} ms of {} ms: running={running} waiting={waiting} \
             slots={slots} slowness={slowness:.2}",
            expected.as_millis(),
            limit.as_millis(),
        );
        let delay = retry_after(ExpectedCapacity::After(expected.saturating_sub(limit)), left);
        Some(Failure::new(FailureKind::Overloaded, detail).retry_after(delay))
    }

    /// Returns how long a request is held before targets are probed again, `None` if it is sent to
    /// the target that reported `best`.
    fn hold_delay(
        &self,
        ex: &Exchange,
        best: &ProbeReport,
        standing: Standing,
    ) -> Option<Duration> {
        let shared = &self.shared;
        if !shared.has_spare_probes() {
            return None;
        }
        let traffic = shared.traffic();
        let hold = Hold {
            aim_at: ex.received + ex.route.aim,
            deadline: ex.deadline,
            baseline_latency: traffic.baseline_latency(&ex.latency_class)?,
            slowdown: traffic.slowdown(&ex.service),
            holds_late: shared.has_pool_feature,
            standing,
        };
        drop(traffic);
        hold.delay(shared.clock.now(), best)
    }

    /// Returns the failure of a request for which no target could be selected.
    fn no_target_failure(&self, ex: &Exchange, error: &NoTargetSelected) -> Failure {
        let now = self.shared.clock.now();
        let left = ex.deadline.since(now);
        let NoTargetSelected { usable, probed, resting_until } = *error;
        let detail = format!("usable={usable} asked={probed}, none can be sent to");
        let failure = Failure::new(FailureKind::NoTarget, detail);
        match resting_until {
            Some(until) if usable == 0 => {
                failure.retry_after(retry_after_rest(until.since(now), rand::random()))
            }
            _ => failure.retry_after(retry_after(CAPACITY_LATER, left)),
        }
    }

    /// Returns when the first target of the service may be used again, `None` unless all of them have
    /// asked for a rest.
    fn end_of_rests(&self, ex: &Exchange) -> Option<Tick> {
        let view = self.shared.view.load();
        let now = self.shared.clock.now();
        let traffic = self.shared.traffic();
        let mut earliest: Option<Tick> = None;
        for target in view.usable_targets(&ex.service) {
            if traffic.leaving.contains(target) {
                continue;
            }
            let until = traffic.resting.until(now, target)?;
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
        }
        earliest
    }

    /// Returns the failure that an attempt without a response leads to.
    ///
    /// `capacity` is when the target was expected to have a free slot, according to its report
    /// before the attempt.
    fn attempt_failure(
        &self,
        ex: &Exchange,
        error: SendError,
        capacity: ExpectedCapacity,
    ) -> Failure {
        let left = ex.deadline.since(self.shared.clock.now());
        let delay = retry_after(CAPACITY_LATER, left);
        match error {
            SendError::NotSent(detail) => {
                Failure::new(FailureKind::NoTarget, detail).retry_after(delay)
            }
            SendError::Refused(refusal) => {
                let detail = match (refusal, capacity) {
                    (Refusal::Shed, ExpectedCapacity::Now) => {
                        "the targets that were tried refused, not full"
                    }
                    (Refusal::Shed, ExpectedCapacity::After(_)) => {
                        "the targets that were tried are full"
                    }
                    (Refusal::WrongTarget, _) => "the target's address belongs to another one",
                };
                let delay = match self.end_of_rests(ex) {
                    Some(until) => {
                        let rest = until.since(self.shared.clock.now());
                        retry_after_rest(rest, rand::random())
                    }
                    None => retry_after(capacity, left),
                };
                Failure::new(FailureKind::Shed, detail).retry_after(delay)
            }
            SendError::Lost(detail) | SendError::Reset(detail) => {
                Failure::new(FailureKind::ResponseLost, detail)
            }
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
        let limit = self.shared.clock.instant(ex.deadline + LATE_RESPONSE_GRACE);
        let mut progress = Progress::default();
        let failure = tokio::select! {
            // First, so that a response that has arrived is delivered.
            biased;
            attempts = tokio::time::timeout_at(limit, self.run_attempts(ex, &mut progress)) => {
                match attempts {
                    Ok(reply) => return reply,
                    Err(_) => self.attempt_failure(ex, SendError::TimedOut, CAPACITY_LATER),
                }
            }
            () = self.shared.wait_is_over() => progress.interrupted(),
        };
        progress.final_reply(failure)
    }
}

/// Returns the time after which a caller may retry, if `left` remains until its deadline.
fn retry_after(capacity: ExpectedCapacity, left: Duration) -> Duration {
    capacity.retry_after(left, rand::random())
}

/// Checks by a new connection whether the process of a target that lost a request has ended.
async fn check_liveness(shared: Arc<Shared>, target: Target) {
    let opened =
        tokio::time::timeout(LIVENESS_CHECK_TIMEOUT, TargetConnection::open(target.address)).await;
    match opened {
        Ok(Ok(connection)) => shared.pool.put(&target.name, connection),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            let now = shared.clock.now();
            let hints = shared.traffic().suspects.record_process_ended(now, &target);
            shared.send_hints(hints);
            shared.note_absent(&target);
        }
        Ok(Err(error)) => log::debug!("target {}: liveness check failed: {error}", target.name),
        Err(_) => log::debug!("target {}: liveness check timed out", target.name),
    }
}

/// Returns the label of an error in logs and metrics.
fn failure_reason(error: &SendError) -> &'static str {
    match error {
        SendError::NotSent(_) => "not_sent",
        SendError::Refused(Refusal::Shed) => "shed",
        SendError::Refused(Refusal::WrongTarget) => "wrong_target",
        SendError::Lost(_) | SendError::Reset(_) => "lost",
        SendError::TimedOut => "timed_out",
    }
}
