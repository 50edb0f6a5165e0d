//! Configuration of routes and services.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::organisation::Organisations;
use super::route::Route;
use crate::ids::{Connections, Generation, ServiceName};

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum total size of the header fields of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for the header of a request to arrive.
    pub header_timeout: Duration,
    /// Minimum time for which an idle connection is kept open.
    pub idle_timeout: Duration,
}

/// Settings that apply to all targets of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that a target accepts from all gateways together.
    pub max_connections: Connections,
    /// Requests per second that a target accepts from all gateways together while it is cold.
    pub cold_rate: f64,
}

/// All routes and services at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; increases with each configuration that is published.
    pub version: Generation,
    /// Routes, longest prefix first.
    routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations and their keys; `None` if callers need no keys.
    pub organisations: Option<Organisations>,
}

impl Configuration {
    /// Creates a configuration; sorts the routes by the length of their prefix.
    #[must_use]
    pub fn new(
        version: Generation,
        mut routes: Vec<Route>,
        services: BTreeMap<ServiceName, ServicePolicy>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self { version, routes, services, limits, organisations: None }
    }

    /// Sets the organisations; requests on routes that are not public then need a key.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.organisations = Some(organisations);
        self
    }

    /// Returns the route of a request: among the routes of `host`, the one with the longest prefix
    /// of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| path.starts_with(&route.prefix) && route.host.eq_ignore_ascii_case(host))
    }

    /// Returns the routes, longest prefix first.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
