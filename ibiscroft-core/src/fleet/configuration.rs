//! A configuration of routes and services.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::route::Route;
use crate::ids::{Connections, Generation, ServiceName};

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest sum of a request's header fields, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's header to arrive.
    pub header_timeout: Duration,
    /// Time for which an idle connection is kept open at least.
    pub idle_timeout: Duration,
}

/// What holds for all targets of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that a target accepts from all gateways together.
    pub max_connections: Connections,
    /// Requests a second that a target bears while it is cold, from all gateways together.
    pub cold_rate: f64,
}

/// All routes and services at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; only ever rises.
    pub version: Generation,
    /// Routes, longest prefix first.
    routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Makes a configuration.
    #[must_use]
    pub fn new(
        version: Generation,
        mut routes: Vec<Route>,
        services: BTreeMap<ServiceName, ServicePolicy>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self { version, routes, services, limits }
    }

    /// Returns the route of a request: the longest prefix of its path among those of its host.
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
