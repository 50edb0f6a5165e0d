//! Admission control: limits how many requests run and wait, and sheds requests under overload.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use ibiscroft_core::admission::{AdmissionRequest, Outcome, RequestClass};
use ibiscroft_wire::ErrorKind;

use crate::exchange::{BackendResponse, BodyStream, Exchange, Failure, Reply, ResponseBody};
use crate::filters::{Filter, Handler};
use crate::service_admission::{AdmissionSlot, SlotResult};
use crate::shared::Shared;

/// Time until the deadline from which on a request is treated as a batch request.
const BATCH_MIN_TIME_LEFT: Duration = Duration::from_secs(600);
/// Retry delay for callers whose request waited too long for a slot.
const RETRY_AFTER_QUEUE_TIMEOUT: Duration = Duration::from_millis(200);

/// Filter that passes a request on once the service has a free slot for it.
#[derive(Debug)]
pub(crate) struct Admit {
    shared: Arc<Shared>,
}

impl Admit {
    /// Creates the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the slot of an admitted request, or waits for the slot of a queued one.
    ///
    /// An interactive request waits up to the queue wait of its service, a batch request up to its
    /// deadline.
    async fn wait_for_slot(
        &self,
        ex: &Exchange,
        result: SlotResult,
    ) -> Result<AdmissionSlot, Failure> {
        let rx = match result {
            SlotResult::Acquired(slot) => return Ok(slot),
            SlotResult::Refused { retry_after } => return Err(self.refuse(retry_after)),
            SlotResult::Queued(rx) => rx,
        };
        let left = ex.deadline.since(self.shared.clock.now());
        let max_wait = match request_class(left) {
            RequestClass::Interactive => ex.service.service.queue_wait.min(left),
            RequestClass::Batch => left,
        };
        if let Ok(Ok(slot)) = tokio::time::timeout(max_wait, rx).await {
            return Ok(slot);
        }
        // Removes the requests that waited too long from the queue.
        ex.service.admission.admit_waiting();
        Err(self.refuse(RETRY_AFTER_QUEUE_TIMEOUT))
    }

    /// Returns the failure of a request that gets no slot, and records the shortage of slots.
    fn refuse(&self, retry_after: Duration) -> Failure {
        self.shared.slot_shortage.note(self.shared.clock.now());
        Failure::new(ErrorKind::Overloaded, "too many requests wait").retry_after(retry_after)
    }
}

impl Filter for Admit {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        let started = self.shared.clock.now();
        let left = ex.deadline.since(started);
        let request = AdmissionRequest { deadline: ex.deadline, class: request_class(left) };
        let wait_until = started + ex.service.service.queue_wait.min(left);
        let mut result = ex.service.admission.arrive(request);
        loop {
            let waiting_since = self.shared.clock.now();
            let mut slot = self.wait_for_slot(ex, result).await?;
            ex.upstream_time += self.shared.clock.now().since(waiting_since);
            let reply = next.handle(ex).await;
            slot.set_outcome(outcome(&reply));
            let failure = match reply {
                Ok(response) => return Ok(keep_slot(response, slot)),
                Err(failure) => failure,
            };
            drop(slot);
            if failure.kind != ErrorKind::Shed || ex.is_at_most_once() {
                return Err(failure);
            }
            // All attempted targets shed the request, so it waits for a slot again, up to the end of
            // the wait that began at its arrival.
            result = ex.service.admission.requeue(wait_until);
            if let SlotResult::Refused { .. } = result {
                return Err(failure);
            }
        }
    }
}

/// Keeps the slot until the body of the response ends.
fn keep_slot(response: BackendResponse, slot: AdmissionSlot) -> BackendResponse {
    let BackendResponse { status, headers, body } = response;
    let body = match body {
        ResponseBody::Whole(bytes) => ResponseBody::Whole(bytes),
        ResponseBody::Stream(body) => ResponseBody::Stream(stream_with_slot(body, slot)),
    };
    BackendResponse { status, headers, body }
}

fn stream_with_slot(body: BodyStream, slot: AdmissionSlot) -> BodyStream {
    Box::pin(stream::unfold((body, slot), |(mut body, slot)| async move {
        let chunk = body.next().await?;
        Some((chunk, (body, slot)))
    }))
}

/// Returns the outcome of a request as the concurrency limit counts it.
fn outcome(reply: &Reply) -> Outcome {
    match reply.as_ref().map_err(|failure| failure.kind) {
        Ok(_) => Outcome::Answered,
        Err(ErrorKind::Shed) => Outcome::Shed,
        Err(ErrorKind::AnswerTimeout | ErrorKind::DeadlinePassed) => Outcome::TimedOut,
        Err(_) => Outcome::Failed,
    }
}

fn request_class(left: Duration) -> RequestClass {
    if left >= BATCH_MIN_TIME_LEFT { RequestClass::Batch } else { RequestClass::Interactive }
}
