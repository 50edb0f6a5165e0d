//! HTTP endpoint for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::{HeaderValue, StatusCode, header};
use ibiscroft_core::Tick;
use ibiscroft_core::ids::RequestId;
use ibiscroft_listener::{Connection, ConnectionRegistry, RequestGuard};
use ibiscroft_wire::ErrorKind;
use poem::{Endpoint, Request, Response};

use crate::exchange::{Exchange, Failure, Reply};
use crate::filters::Handler;
use crate::filters::identify::{discard_body, identify, request_id};
use crate::problem::{backend_response, failure_response};
use crate::shared::Shared;

/// Serves callers' requests through a filter chain.
#[derive(Debug)]
pub(crate) struct CallerEndpoint<H> {
    shared: Arc<Shared>,
    chain: Arc<H>,
    connections: Arc<ConnectionRegistry>,
    closing: Arc<AtomicBool>,
    next_request: AtomicU64,
}

impl<H: Handler + 'static> CallerEndpoint<H> {
    /// Creates the endpoint; once `closing` is set, each response closes its connection.
    pub(crate) fn new(
        shared: Arc<Shared>,
        chain: H,
        connections: Arc<ConnectionRegistry>,
        closing: Arc<AtomicBool>,
    ) -> Self {
        let next_request = AtomicU64::new(0);
        Self { shared, chain: Arc::new(chain), connections, closing, next_request }
    }

    /// Reads the request and passes it through the filter chain.
    async fn serve(&self, mut req: Request, id: &RequestId, received: Tick) -> Reply {
        match identify(&mut req, id.clone(), &self.shared, received).await {
            Ok(ex) if ex.is_at_most_once() => self.serve_at_most_once(ex).await,
            Ok(mut ex) => self.chain.handle(&mut ex).await,
            Err(failure) => {
                if !failure.is_body_unread {
                    discard_body(&mut req).await;
                }
                Err(failure)
            }
        }
    }

    /// Serves an at-most-once request in a task of its own, which continues after the caller
    /// disconnects.
    async fn serve_at_most_once(&self, mut ex: Exchange) -> Reply {
        let chain = Arc::clone(&self.chain);
        let task = tokio::spawn(async move { chain.handle(&mut ex).await });
        task.await.unwrap_or_else(|error| {
            Err(Failure::new(ErrorKind::Internal, format!("the order's task failed: {error}")))
        })
    }

    async fn respond(
        &self,
        reply: Reply,
        id: &RequestId,
        connection: Arc<Connection>,
        request: RequestGuard,
    ) -> Response {
        match reply {
            Ok(response) => {
                backend_response(response, connection, request, Arc::clone(&self.shared))
            }
            Err(failure) => {
                // Without a turn for the others, the refusals of a caller that does not wait for
                // its responses would hold the thread.
                tokio::task::yield_now().await;
                self.fail(&failure, id)
            }
        }
    }

    /// Counts a failure and returns its problem response.
    fn fail(&self, failure: &Failure, id: &RequestId) -> Response {
        let kind = failure.kind.to_string();
        self.shared.metrics.failures.with_label_values(&[kind.as_str()]).inc();
        failure_response(failure, id)
    }

    /// Returns a new request id, made of the run id of this process and a counter of this endpoint.
    ///
    /// It is meant to be unique among all gateways.
    fn new_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.shared.run)
    }
}

impl<H: Handler + 'static> Endpoint for CallerEndpoint<H> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let received = self.shared.clock.now();
        let id = request_id(req.headers(), || self.new_request_id());
        let Some(connection) = self.connections.for_request(&req) else {
            return Ok(response_for_disconnected());
        };
        let request = connection.begin_request();
        let reply = tokio::select! {
            reply = self.serve(req, &id, received) => reply,
            () = connection.ended() => {
                // A caller that has closed only its sending half would receive the placeholder.
                connection.close();
                return Ok(response_for_disconnected());
            }
        };
        let mut res = self.respond(reply, &id, connection, request).await;
        // While callers find no connection, each one gets a connection for a single request.
        let is_short = self.shared.connection_shortage.lasts(self.shared.clock.now());
        if is_short || self.closing.load(Ordering::Relaxed) {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }
}

/// Returns a placeholder response for a connection that has been closed.
fn response_for_disconnected() -> Response {
    StatusCode::BAD_REQUEST.into()
}
