//! HTTP endpoint for readiness, metrics and a dump of the state.

use std::sync::Arc;

use http::StatusCode;
use ibiscroft_core::fleet::View;
use poem::{Endpoint, Request, Response};
use serde_json::json;

use crate::shared::Shared;

/// Serves `/readyz`, `/metrics` and `/dump`.
#[derive(Debug)]
pub(crate) struct StatusEndpoint {
    shared: Arc<Shared>,
}

impl StatusEndpoint {
    /// Creates an endpoint that reports the state of `shared`.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn ready(&self) -> Response {
        let status =
            if self.shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        status.into()
    }

    fn metrics(&self) -> Response {
        match self.shared.metrics.encode_text() {
            Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
            Err(error) => {
                log::error!("cannot encode metrics: {error}");
                StatusCode::INTERNAL_SERVER_ERROR.into()
            }
        }
    }

    fn dump(&self) -> Response {
        let view = self.shared.view.load();
        let dump = json!({
            "instance": self.shared.settings.instance,
            "availability_zone": self.shared.settings.availability_zone,
            "ready": self.shared.is_ready(),
            "closing": self.shared.is_closing(),
            "era": view.position().era,
            "revision": view.position().revision,
            "configuration_version": view.configuration_version(),
            "zones_out": view.zones_out().collect::<Vec<_>>(),
            "quotas": self.shared.quotas.dump(&self.shared),
            "targets": view.targets().collect::<Vec<_>>(),
            "gateways": View::members(&view).collect::<Vec<_>>(),
        });
        Response::builder().content_type("application/json").body(dump.to_string())
    }
}

impl Endpoint for StatusEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        Ok(match req.original_uri().path() {
            "/readyz" => self.ready(),
            "/metrics" => self.metrics(),
            "/dump" => self.dump(),
            _ => StatusCode::NOT_FOUND.into(),
        })
    }
}
