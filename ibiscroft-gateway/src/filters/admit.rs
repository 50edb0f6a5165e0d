//! Bounds the requests that are sent and that wait, and refuses early under overload.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use ibiscroft_core::admission::{AdmissionRequest, Outcome, RequestClass};
use ibiscroft_wire::ErrorKind;

use crate::exchange::{BackendResponse, BodyStream, Exchange, Failure, Reply, ResponseBody};
use crate::filters::{Filter, Handler};
use crate::service_admission::{Admitted, Place};
use crate::shared::Shared;

/// Time to the deadline from which on a request counts as a batch request.
const BATCH_FROM: Duration = Duration::from_secs(600);
/// Advice to callers whose wait was over.
const RETRY_AFTER_WAIT: Duration = Duration::from_millis(200);

/// Lets a request pass when the service has room for it.
#[derive(Debug)]
pub(crate) struct Admit {
    shared: Arc<Shared>,
}

impl Admit {
    /// Makes the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Waits for a place; the wait is bounded by the service and by the deadline.
    async fn place(&self, ex: &Exchange, admitted: Admitted) -> Result<Place, Failure> {
        let rx = match admitted {
            Admitted::Now(place) => return Ok(place),
            Admitted::Refused { retry_after } => return Err(overloaded(retry_after)),
            Admitted::Later(rx) => rx,
        };
        let left = ex.deadline.since(self.shared.clock.now());
        let longest = match request_class(left) {
            RequestClass::Interactive => ex.service.service.queue_wait.min(left),
            RequestClass::Batch => left,
        };
        if let Ok(Ok(place)) = tokio::time::timeout(longest, rx).await {
            return Ok(place);
        }
        ex.service.admission.drain();
        Err(overloaded(RETRY_AFTER_WAIT))
    }
}

impl Filter for Admit {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        let begun = self.shared.clock.now();
        let left = ex.deadline.since(begun);
        let ticket = AdmissionRequest { deadline: ex.deadline, class: request_class(left) };
        let wait_until = begun + ex.service.service.queue_wait.min(left);
        let mut admitted = ex.service.admission.arrive(ticket);
        loop {
            let waiting_since = self.shared.clock.now();
            let mut place = self.place(ex, admitted).await?;
            ex.upstream_time += self.shared.clock.now().since(waiting_since);
            let reply = next.handle(ex).await;
            place.set_outcome(outcome(&reply));
            let failure = match reply {
                Ok(answer) => return Ok(hold(answer, place)),
                Err(failure) => failure,
            };
            drop(place);
            if failure.kind != ErrorKind::Shed || ex.is_at_most_once() {
                return Err(failure);
            }
            admitted = ex.service.admission.requeue(wait_until);
            if let Admitted::Refused { .. } = admitted {
                return Err(failure);
            }
        }
    }
}

/// Keeps the place until the body of the answer ends.
fn hold(answer: BackendResponse, place: Place) -> BackendResponse {
    let BackendResponse { status, headers, body } = answer;
    let body = match body {
        ResponseBody::Whole(bytes) => ResponseBody::Whole(bytes),
        ResponseBody::Stream(body) => ResponseBody::Stream(held(body, place)),
    };
    BackendResponse { status, headers, body }
}

fn held(body: BodyStream, place: Place) -> BodyStream {
    Box::pin(stream::unfold((body, place), |(mut body, place)| async move {
        let piece = body.next().await?;
        Some((piece, (body, place)))
    }))
}

fn outcome(reply: &Reply) -> Outcome {
    match reply.as_ref().map_err(|failure| failure.kind) {
        Ok(_) => Outcome::Answered,
        Err(ErrorKind::Shed) => Outcome::Shed,
        Err(ErrorKind::AnswerTimeout | ErrorKind::DeadlinePassed) => Outcome::TimedOut,
        Err(_) => Outcome::Failed,
    }
}

fn request_class(left: Duration) -> RequestClass {
    if left >= BATCH_FROM { RequestClass::Batch } else { RequestClass::Interactive }
}

fn overloaded(retry_after: Duration) -> Failure {
    Failure::new(ErrorKind::Overloaded, "too many requests wait").retry_after(retry_after)
}
