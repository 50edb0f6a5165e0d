//! Configuration of a cluster: services, targets, availability zones and limits.

use std::time::Duration;

use crate::data;
use crate::ids::{
    ChangeId, Connections, Generation, PerSecond, Permille, ServiceName, Slots, TargetName,
    ZoneName,
};

data! {
    /// Services and availability zones that the gateways serve.
    pub struct Configuration {
        /// Version of the configuration; rises by one with each accepted change.
        pub generation: Generation,
        /// Identifier of the change that produced this generation.
        pub change_id: ChangeId,
        /// All availability zones, including those that operators took out.
        pub zones: Vec<ZoneName>,
        /// Services in routing order: the first service with a matching route gets the request.
        pub services: Vec<Service>,
    }

    /// A service with its routes, targets and limits.
    pub struct Service {
        /// Unique name.
        pub name: ServiceName,
        /// Conditions of which a request of this service meets at least one.
        pub routes: Vec<Route>,
        /// Methods whose requests must run at most once, in upper case.
        pub at_most_once_methods: Vec<String>,
        /// Time limit for a response to a request that states no deadline.
        pub default_deadline: Duration,
        /// Longest time that a request waits at a gateway for a target.
        pub queue_wait: Duration,
        /// Requests that may wait at one gateway.
        pub queue_limit: u32,
        /// Retries that are allowed, as a share of recent calls.
        pub retry_share: Permille,
        /// Limits of a cold target.
        pub cold: ColdLimits,
        /// Rate of polls of its load that a target may receive from all gateways together.
        pub poll_budget: PerSecond,
        /// Targets (backend servers) of the service.
        pub targets: Vec<Target>,
    }

    /// A condition on a request, which matches when both host and path match.
    pub struct Route {
        /// Host name in lower case, without port; `None` matches any host.
        pub host: Option<String>,
        /// Prefix of whole path segments, starting with `/`.
        pub path_prefix: String,
    }

    /// Limits of a target during its warm-up.
    pub struct ColdLimits {
        /// Requests that it may run at once.
        pub concurrency: u32,
        /// Time with traffic after which the target counts as warm.
        pub warm_up: Duration,
    }

    /// A backend server of a service.
    pub struct Target {
        /// Unique name.
        pub name: TargetName,
        /// IP address and port.
        pub address: std::net::SocketAddr,
        /// Availability zone in which it runs.
        pub zone: ZoneName,
        /// Requests that it runs at once.
        pub slots: Slots,
        /// Connections that it accepts from all gateways together.
        pub connections: Connections,
    }

    /// Availability zones that operators took out of service.
    pub struct ZoneState {
        /// Version of the state; rises by one with each accepted change.
        pub generation: Generation,
        /// Identifier of the change that produced this generation.
        pub change_id: ChangeId,
        /// Availability zones whose targets receive no new requests.
        pub out: Vec<ZoneName>,
    }
}

impl Configuration {
    /// Returns a configuration without services, whose generation 0 is older than any accepted
    /// one.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            generation: Generation(0),
            change_id: ChangeId::new("none"),
            zones: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Returns the index of the first service with a route that matches a request.
    ///
    /// A port in `host` is ignored, and letter case is not significant.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.services
            .iter()
            .position(|service| service.routes.iter().any(|route| route.matches(host, path)))
    }
}

impl Service {
    /// Returns whether requests with `method` must run at most once.
    #[must_use]
    pub fn is_at_most_once(&self, method: &str) -> bool {
        self.at_most_once_methods.iter().any(|listed| listed == method)
    }
}

impl Route {
    /// Returns whether a request for `host` (without port) and `path` matches the route.
    #[must_use]
    pub fn matches(&self, host: &str, path: &str) -> bool {
        let host_matches =
            self.host.as_ref().is_none_or(|host_name| host_name.eq_ignore_ascii_case(host));
        host_matches && is_path_prefix(&self.path_prefix, path)
    }
}

impl ZoneState {
    /// Returns the state before any operator change, in which every availability zone is in
    /// service.
    #[must_use]
    pub fn empty() -> Self {
        Self { generation: Generation(0), change_id: ChangeId::new("none"), out: Vec::new() }
    }

    /// Returns whether operators took `zone` out of service.
    #[must_use]
    pub fn is_out(&self, zone: &ZoneName) -> bool {
        self.out.contains(zone)
    }
}

/// Returns whether `prefix` is a prefix of `path` that ends at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
