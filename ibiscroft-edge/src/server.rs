//! The endpoint for callers.

use std::marker::PhantomData;
use std::sync::Arc;

use http::{HeaderValue, StatusCode, header};
use ibiscroft_listener::{Connection, Connections, close_on_error};
use poem::{Body, Endpoint, Request, Response};

use crate::dialect::Dialect;
use crate::events::event;
use crate::filters::Handler;
use crate::filters::identify::identify;
use crate::reply::{AnswerBody, Failure, Reply};
use crate::shared::Shared;

/// Serves callers' requests through a filter chain.
#[derive(Debug)]
pub(crate) struct CallerEndpoint<D, H> {
    shared: Arc<Shared>,
    chain: H,
    connections: Arc<Connections>,
    dialect: PhantomData<fn() -> D>,
}

impl<D: Dialect, H: Handler> CallerEndpoint<D, H> {
    /// Makes the endpoint.
    pub(crate) fn new(shared: Arc<Shared>, chain: H, connections: Arc<Connections>) -> Self {
        Self { shared, chain, connections, dialect: PhantomData }
    }

    async fn serve(&self, mut req: Request) -> Reply {
        let received = self.shared.clock.now();
        self.shared.first_configuration().await;
        match identify::<D>(&mut req, &self.shared, received).await {
            Ok(ex) => self.chain.handle(&ex).await,
            Err(failure) => {
                self.note_refusal(&req, &failure);
                Err(failure)
            }
        }
    }

    /// Logs a request that no filter saw.
    fn note_refusal(&self, req: &Request, failure: &Failure) {
        let name = failure.kind.name();
        self.shared.metrics.requests.with_label_values(&[name]).inc();
        let facts = D::parse_request(req.headers()).unwrap_or_default();
        let id = facts.request_id.as_ref().map_or("-", |id| id.as_str());
        event!(RequestRefused, "req={id} kind={name} detail={:?}", failure.detail);
    }

    fn respond(reply: Reply, connection: Arc<Connection>) -> Response {
        match reply {
            Err(failure) => failure.response(),
            Ok(mut answer) => {
                let body =
                    std::mem::replace(&mut answer.body, AnswerBody::Whole(Vec::new().into()));
                match body {
                    AnswerBody::Whole(whole) => answer.body = AnswerBody::Whole(whole),
                    AnswerBody::Stream(stream) => {
                        let mut res = answer.into_response();
                        let stream = close_on_error(stream, connection);
                        res.set_body(Body::from_bytes_stream(stream));
                        return res;
                    }
                }
                answer.into_response()
            }
        }
    }
}

impl<D: Dialect, H: Handler + 'static> Endpoint for CallerEndpoint<D, H> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let Some(connection) = self.connections.of(&req) else {
            return Ok(gone());
        };
        let reply = tokio::select! {
            reply = self.serve(req) => reply,
            () = connection.ended() => return Ok(gone()),
        };
        let mut res = Self::respond(reply, connection);
        if self.shared.is_closing() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }
}

/// Returns what a handler owes its server for a caller that left; nobody sees it.
fn gone() -> Response {
    StatusCode::BAD_REQUEST.into()
}
