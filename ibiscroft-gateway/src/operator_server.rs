//! HTTP endpoint for the platform and operators: health, metrics, the state dump and new records.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Method, StatusCode};
use ibiscroft_wire::generated::peer::PeerMessage;
use poem::{Endpoint, Request, Response};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::control::ControlCommand;
use crate::shared::Shared;

/// Largest request body with records from an operator, in bytes.
const MAX_RECORDS_BYTES: usize = 2 << 20;

/// Serves `/livez`, `/readyz`, `/metrics` and `/dump` by GET, and accepts records by POST to
/// `/registers`.
#[derive(Debug)]
pub(crate) struct OperatorEndpoint {
    shared: Arc<Shared>,
    commands: mpsc::Sender<ControlCommand>,
    closing: Arc<AtomicBool>,
}

impl OperatorEndpoint {
    /// Creates the endpoint; once `closing` is set, it reports the gateway as not ready.
    pub(crate) fn new(
        shared: Arc<Shared>,
        commands: mpsc::Sender<ControlCommand>,
        closing: Arc<AtomicBool>,
    ) -> Self {
        Self { shared, commands, closing }
    }

    /// Reports whether callers should be sent to this gateway.
    fn readiness(&self) -> Response {
        if self.closing.load(Ordering::Relaxed) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
        }
        if !self.shared.validity.is_ready() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration is in force\n");
        }
        text(StatusCode::OK, "ready\n")
    }

    async fn dump(&self) -> Response {
        let (tx, rx) = oneshot::channel();
        if self.commands.send(ControlCommand::Dump(tx)).await.is_err() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "control has ended\n");
        }
        json_or_unavailable(rx.await.ok())
    }

    /// Passes records that the store accepted to the control thread; the operators' command line
    /// sends them.
    async fn accept_records(&self, req: Request) -> Response {
        let body = match req.into_body().into_bytes_limit(MAX_RECORDS_BYTES).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let message = match serde_json::from_slice::<PeerMessage>(&body) {
            Ok(message @ PeerMessage::Registers { .. }) => message,
            Ok(_) => return text(StatusCode::BAD_REQUEST, "only records are taken\n"),
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let (reply, rx) = oneshot::channel();
        if self.commands.send(ControlCommand::Registers { message, reply }).await.is_err() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "control has ended\n");
        }
        json_or_unavailable(rx.await.ok())
    }
}

impl Endpoint for OperatorEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        if req.method() == Method::POST && req.uri().path() == "/registers" {
            return Ok(self.accept_records(req).await);
        }
        if req.method() != Method::GET {
            return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served\n"));
        }
        Ok(match req.uri().path() {
            "/livez" => text(StatusCode::OK, "live\n"),
            "/readyz" => self.readiness(),
            "/metrics" => text(StatusCode::OK, self.shared.metrics.render()),
            "/dump" => self.dump().await,
            _ => text(StatusCode::NOT_FOUND, "paths: /livez /readyz /metrics /dump\n"),
        })
    }
}

/// Returns `state` as JSON, or 503 if the control thread ended before it replied.
fn json_or_unavailable(state: Option<Value>) -> Response {
    match state {
        Some(state) => {
            Response::builder().content_type("application/json").body(format!("{state:#}\n"))
        }
        None => text(StatusCode::SERVICE_UNAVAILABLE, "control has ended\n"),
    }
}

fn text(status: StatusCode, body: impl Into<String>) -> Response {
    Response::builder().status(status).content_type("text/plain; charset=utf-8").body(body.into())
}
