//! The endpoint for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::{HeaderValue, StatusCode, header};
use ibiscroft_core::Tick;
use ibiscroft_core::ids::RequestId;
use ibiscroft_listener::{Connection, ConnectionRegistry};
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
    /// Makes the endpoint; once `closing` is set, each answer closes its connection.
    pub(crate) fn new(
        shared: Arc<Shared>,
        chain: H,
        connections: Arc<ConnectionRegistry>,
        closing: Arc<AtomicBool>,
    ) -> Self {
        let next_request = AtomicU64::new(0);
        Self { shared, chain: Arc::new(chain), connections, closing, next_request }
    }

    async fn serve(&self, mut req: Request, id: &RequestId, received: Tick) -> Reply {
        let view = self.shared.view();
        match identify(&mut req, id.clone(), &view, received).await {
            Ok(ex) if ex.is_at_most_once() => self.serve_order(ex).await,
            Ok(mut ex) => self.chain.handle(&mut ex).await,
            Err(failure) => {
                discard_body(&mut req).await;
                Err(failure)
            }
        }
    }

    /// Serves an order in a task of its own, which goes on when the caller goes away.
    async fn serve_order(&self, mut ex: Exchange) -> Reply {
        let chain = Arc::clone(&self.chain);
        let order = tokio::spawn(async move { chain.handle(&mut ex).await });
        order.await.unwrap_or_else(|error| {
            Err(Failure::new(ErrorKind::Internal, format!("the order's task failed: {error}")))
        })
    }

    fn respond(&self, reply: Reply, id: &RequestId, connection: Arc<Connection>) -> Response {
        match reply {
            Ok(answer) => backend_response(answer, connection),
            Err(failure) => self.fail(&failure, id),
        }
    }

    fn fail(&self, failure: &Failure, id: &RequestId) -> Response {
        let kind = failure.kind.to_string();
        self.shared.metrics.failures.with_label_values(&[kind.as_str()]).inc();
        failure_response(failure, id)
    }

    /// Returns an id that is unique in the fleet.
    fn fresh_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.shared.run)
    }
}

impl<H: Handler + 'static> Endpoint for CallerEndpoint<H> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let received = self.shared.clock.now();
        let id = request_id(req.headers(), || self.fresh_request_id());
        let Some(connection) = self.connections.for_request(&req) else {
            return Ok(gone());
        };
        let reply = tokio::select! {
            reply = self.serve(req, &id, received) => reply,
            () = connection.ended() => return Ok(gone()),
        };
        let mut res = self.respond(reply, &id, connection);
        if self.closing.load(Ordering::Relaxed) {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }
}

/// Returns what a handler owes its server for a caller that left; nobody sees it.
fn gone() -> Response {
    StatusCode::BAD_REQUEST.into()
}
