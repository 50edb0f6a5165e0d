//! HTTP endpoint for callers.

use std::marker::PhantomData;
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderValue, StatusCode, header};
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::STALL_TIME;
use ibiscroft_listener::{Connection, ConnectionRegistry, RequestGuard, close_on_error};
use poem::{Endpoint, Request, Response};
use tokio::sync::OwnedSemaphorePermit;

use crate::dialect::Dialect;
use crate::events::event;
use crate::filters::Handler;
use crate::filters::identify::identify;
use crate::reply::{Failure, FailureKind, Reply, ResponseBody};
use crate::segments::limit_unsent;
use crate::shared::Shared;

/// Retry time for callers whose request found no place among those in flight.
const SLOT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Passes callers' requests through the filter chain and turns the outcome into a response.
#[derive(Debug)]
pub(crate) struct CallerEndpoint<D, H> {
    shared: Arc<Shared>,
    chain: H,
    connections: Arc<ConnectionRegistry>,
    dialect: PhantomData<fn() -> D>,
}

impl<D: Dialect, H: Handler> CallerEndpoint<D, H> {
    /// Creates an endpoint that hands identified requests to `chain`.
    pub(crate) fn new(shared: Arc<Shared>, chain: H, connections: Arc<ConnectionRegistry>) -> Self {
        Self { shared, chain, connections, dialect: PhantomData }
    }

    /// Handles a request, after the first configuration has arrived or its wait has timed out.
    async fn serve(
        &self,
        mut req: Request,
        connection: &Connection,
        request: &RequestGuard,
    ) -> (Reply, Option<OwnedSemaphorePermit>) {
        let received = self.shared.clock.now();
        self.shared.wait_for_first_configuration().await;
        request.begin_body();
        let identified = tokio::select! {
            () = connection.body_given_up() => Err(body_given_up()),
            identified = identify::<D>(&mut req, &self.shared, received) => identified,
        };
        request.end_body();
        match identified {
            Ok(ex) => match self.wait_for_slot(ex.deadline).await {
                Ok(slot) => (self.chain.handle(&ex).await, slot),
                Err(failure) => {
                    self.log_refusal(&req, &failure);
                    (Err(failure), None)
                }
            },
            Err(failure) => {
                self.log_refusal(&req, &failure);
                (Err(failure), None)
            }
        }
    }

    /// Waits until the request may use connections to targets.
    async fn wait_for_slot(&self, deadline: Tick) -> Result<Option<OwnedSemaphorePermit>, Failure> {
        let Some(slots) = &self.shared.request_slots else {
            return Ok(None);
        };
        let until = self.shared.clock.instant(deadline);
        match tokio::time::timeout_at(until, Arc::clone(slots).acquire_owned()).await {
            // The semaphore is never closed.
            Ok(slot) => Ok(slot.ok()),
            Err(_) => {
                let detail = "too many requests in flight for the descriptors of the gateway";
                Err(Failure::new(FailureKind::Overloaded, detail).retry_after(SLOT_RETRY_AFTER))
            }
        }
    }

    /// Counts and logs a request that was refused before it reached the filter chain.
    fn log_refusal(&self, req: &Request, failure: &Failure) {
        let name = failure.kind.name();
        self.shared.metrics.requests.with_label_values(&[name]).inc();
        let metadata = D::parse_request(req.headers()).unwrap_or_default();
        let id = metadata.request_id.as_ref().map_or("-", |id| id.as_str());
        event!(RequestRefused, "req={id} kind={name} detail={:?}", failure.detail);
    }

    /// Converts the outcome of a request to an HTTP response.
    ///
    /// A streamed body closes `connection` if it breaks off, so that the caller does not take a
    /// truncated body for a complete one.
    fn respond(
        reply: Reply,
        connection: &Arc<Connection>,
        request: RequestGuard,
        slot: Option<OwnedSemaphorePermit>,
    ) -> Response {
        let mut response = match reply {
            Err(failure) => return failure.response(),
            Ok(response) => response,
        };
        match response.body {
            ResponseBody::Whole(ref mut whole) => {
                whole.begin_sending(connection, request);
                response.into_response()
            }
            ResponseBody::Stream { chunks, cut_at } => {
                let request = Arc::new(request);
                let is_open = Arc::downgrade(&request);
                tokio::spawn(close_unread(is_open, Arc::clone(connection), cut_at));
                let chunks =
                    limit_unsent(close_on_error(chunks, Arc::clone(connection)), connection);
                let chunks = chunks.inspect(move |_| {
                    // Both are kept as long as the stream.
                    let _ = (&request, &slot);
                });
                response.body = ResponseBody::Stream { chunks: chunks.boxed(), cut_at };
                response.into_response()
            }
        }
    }
}

impl<D: Dialect, H: Handler + 'static> Endpoint for CallerEndpoint<D, H> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let Some(connection) = self.connections.for_request(&req) else {
            self.shared.metrics.requests.with_label_values(&["connection_unknown"]).inc();
            event!(ConnectionUnknown, "caller={}", req.remote_addr());
            return Ok(caller_left());
        };
        let request = connection.begin_request();
        let (reply, slot) = tokio::select! {
            // First, so that no request behind others is started for a caller that has left.
            biased;
            () = connection.ended() => {
                // A caller that has closed only its sending half would receive the placeholder.
                connection.close();
                return Ok(caller_left());
            }
            reply = self.serve(req, &connection, &request) => reply,
        };
        let mut res = Self::respond(reply, &connection, request, slot);
        if self.shared.is_closing() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }
}

/// Closes the connection of a caller that has not read a streamed response some time after its
/// end, so that it does not occupy a target and a place among the requests in flight.
///
/// The server does not ask for the next chunk, which would fail then, while the caller reads none.
async fn close_unread(
    is_open: Weak<RequestGuard>,
    connection: Arc<Connection>,
    cut_at: tokio::time::Instant,
) {
    tokio::time::sleep_until(cut_at + STALL_TIME).await;
    if is_open.strong_count() > 0 {
        connection.close();
    }
}

/// Returns the refusal of a request whose body makes no progress while others need its connection.
fn body_given_up() -> Failure {
    let detail = "the body made no progress while others waited for a connection";
    Failure::new(FailureKind::NoMemory, detail).retry_after(SLOT_RETRY_AFTER)
}

/// Returns a placeholder response for a connection that has been closed.
fn caller_left() -> Response {
    StatusCode::BAD_REQUEST.into()
}
