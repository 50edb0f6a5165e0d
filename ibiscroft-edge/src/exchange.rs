//! One request on its way through the filters.

use bytes::Bytes;
use http::{HeaderMap, Method};
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::Route;
use ibiscroft_core::ids::{Generation, RequestId, ServiceName};
use ibiscroft_core::quarantine::Fingerprint;

use crate::shared::WorkKind;

/// A request that was read whole and belongs to a route.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    /// Identifier that the caller chose.
    pub(crate) request_id: RequestId,
    /// When its header had arrived.
    pub(crate) received: Tick,
    /// When its answer must have been given.
    pub(crate) deadline: Tick,
    /// Method.
    pub(crate) method: Method,
    /// Path and query exactly as the caller sent them.
    pub(crate) path_and_query: String,
    /// Header fields for the target.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Its route.
    pub(crate) route: Route,
    /// Version of the configuration that chose the route.
    pub(crate) version: Generation,
    /// Service that the route's weights chose.
    pub(crate) service: ServiceName,
    /// What stays the same when its caller sends it again.
    pub(crate) fingerprint: Fingerprint,
    /// Kind of work that it is.
    pub(crate) kind: WorkKind,
    /// Path of the service's health check.
    pub(crate) health_path: String,
}
