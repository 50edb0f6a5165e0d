//! The endpoint for the platform and operators: health, metrics and the state dump.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Method, StatusCode};
use poem::{Endpoint, Request, Response};
use tokio::sync::{mpsc, oneshot};

use crate::control::ControlCommand;
use crate::shared::Shared;

/// Serves `/livez`, `/readyz`, `/metrics` and `/dump`.
#[derive(Debug)]
pub(crate) struct OperatorEndpoint {
    shared: Arc<Shared>,
    commands: mpsc::Sender<ControlCommand>,
    closing: Arc<AtomicBool>,
}

impl OperatorEndpoint {
    /// Makes the endpoint; once `closing` is set, the gateway is not ready.
    pub(crate) fn new(
        shared: Arc<Shared>,
        commands: mpsc::Sender<ControlCommand>,
        closing: Arc<AtomicBool>,
    ) -> Self {
        Self { shared, commands, closing }
    }

    fn readiness(&self) -> Response {
        if self.closing.load(Ordering::Relaxed) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
        }
        if self.shared.view().generation.get() == 0 {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration is in force\n");
        }
        text(StatusCode::OK, "ready\n")
    }

    async fn dump(&self) -> Response {
        let (tx, rx) = oneshot::channel();
        if self.commands.send(ControlCommand::Dump(tx)).await.is_err() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "control has ended\n");
        }
        match rx.await {
            Ok(state) => {
                Response::builder().content_type("application/json").body(format!("{state:#}\n"))
            }
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "control has ended\n"),
        }
    }
}

impl Endpoint for OperatorEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
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

fn text(status: StatusCode, body: impl Into<String>) -> Response {
    Response::builder().status(status).content_type("text/plain; charset=utf-8").body(body.into())
}
