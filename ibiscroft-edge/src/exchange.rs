//! One request on its way through the filters.

use http::{HeaderMap, Method};
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::Route;
use ibiscroft_core::ids::{Generation, OrganisationName, RequestId, ServiceName};
use ibiscroft_core::quarantine::Fingerprint;

use crate::segments::RequestBody;
use crate::shared::LatencyClass;

/// A request whose body has been read completely and whose route and service are known.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    /// Identifier chosen by the caller, if it sent one; targets repeat it in their responses.
    pub(crate) request_id: Option<RequestId>,
    /// When the request's header had arrived.
    pub(crate) received: Tick,
    /// When the response to the caller is due.
    pub(crate) deadline: Tick,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query exactly as the caller sent them.
    pub(crate) path_and_query: String,
    /// Header fields to forward, without those that concern only the caller's connection.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: RequestBody,
    /// The route that matched host and path.
    pub(crate) route: Route,
    /// Organisation of the caller; `None` if it is not known or there are no organisations.
    pub(crate) organisation: Option<OrganisationName>,
    /// Priority of the organisation, or else of the route; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Version of the configuration in which the route and the organisation were found.
    pub(crate) version: Generation,
    /// Service selected by the route's weights.
    pub(crate) service: ServiceName,
    /// Hash of what stays the same when the caller repeats the request.
    pub(crate) fingerprint: Fingerprint,
    /// Route and service, under which latencies are recorded.
    pub(crate) latency_class: LatencyClass,
    /// Path of the service's health check, used to probe targets.
    pub(crate) health_path: String,
}

impl Exchange {
    /// Returns the identifier of the request for log lines, `-` if it has none.
    pub(crate) fn log_id(&self) -> &str {
        self.request_id.as_ref().map_or("-", RequestId::as_str)
    }

    /// Returns the name of the organisation for log lines, `-` if it is not known.
    pub(crate) fn log_organisation(&self) -> &str {
        self.organisation.as_ref().map_or("-", OrganisationName::as_str)
    }
}
