//! The configuration in force: services, targets, availability zones and limits.

use std::time::Duration;

use crate::data;
use crate::ids::{
    ChangeId, Connections, Generation, PerSecond, Permille, ServiceName, Slots, TargetName,
    ZoneName,
};

data! {
    /// Everything the gateways need to know of services and targets.
    pub struct Configuration {
        /// Rises by one with each accepted change.
        pub generation: Generation,
        /// Identifies the change that produced this generation.
        pub change_id: ChangeId,
        /// All availability zones, those that are out included.
        pub zones: Vec<ZoneName>,
        /// Services in routing order; the first match wins.
        pub services: Vec<Service>,
    }

    /// One service: how requests reach it, where it runs and what it bears.
    pub struct Service {
        /// Unique name.
        pub name: ServiceName,
        /// Requests that belong to this service.
        pub routes: Vec<Route>,
        /// Methods whose requests must run at most once, in upper case.
        pub at_most_once_methods: Vec<String>,
        /// How long callers wait for an answer when they state no deadline.
        pub default_deadline: Duration,
        /// Longest time a request waits at a gateway for a target.
        pub queue_wait: Duration,
        /// Requests that may wait at one gateway.
        pub queue_limit: u32,
        /// Retries allowed, as a share of recent calls.
        pub retry_share: Permille,
        /// What a cold target bears.
        pub cold: ColdLimits,
        /// Measuring requests each target may receive from all gateways together.
        pub measuring_budget: PerSecond,
        /// Backend servers of the service.
        pub targets: Vec<Target>,
    }

    /// A condition on a request; it matches when every stated part matches.
    pub struct Route {
        /// Host name in lower case, without port; `None` matches any host.
        pub host: Option<String>,
        /// Prefix of the path, starting with `/`.
        pub path_prefix: String,
    }

    /// What a target in cold start bears.
    pub struct ColdLimits {
        /// Requests at once.
        pub concurrency: u32,
        /// Time with traffic after which a target counts as warm.
        pub warm_up: Duration,
    }

    /// A backend server of one service.
    pub struct Target {
        /// Unique name.
        pub name: TargetName,
        /// IP address and port.
        pub address: std::net::SocketAddr,
        /// Availability zone it runs in.
        pub zone: ZoneName,
        /// Requests it runs at once.
        pub slots: Slots,
        /// Connections it accepts from all gateways together.
        pub connections: Connections,
    }

    /// Which availability zones operators took out.
    pub struct ZoneState {
        /// Rises by one with each accepted change.
        pub generation: Generation,
        /// Identifies the change that produced this generation.
        pub change_id: ChangeId,
        /// Availability zones that receive no new work.
        pub out: Vec<ZoneName>,
    }
}

impl Configuration {
    /// Returns a configuration without services, older than any accepted one.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            generation: Generation(0),
            change_id: ChangeId::new("none"),
            zones: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Returns the index of the service that a request belongs to.
    ///
    /// `host` is compared without port and without regard to case.
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
    /// Returns whether a request for `host` (without port) and `path` matches.
    #[must_use]
    pub fn matches(&self, host: &str, path: &str) -> bool {
        let host_matches =
            self.host.as_ref().is_none_or(|wanted| wanted.eq_ignore_ascii_case(host));
        host_matches && is_path_prefix(&self.path_prefix, path)
    }
}

impl ZoneState {
    /// Returns the state before any operator change: every availability zone is in.
    #[must_use]
    pub fn empty() -> Self {
        Self { generation: Generation(0), change_id: ChangeId::new("none"), out: Vec::new() }
    }

    /// Returns whether `zone` was taken out.
    #[must_use]
    pub fn is_out(&self, zone: &ZoneName) -> bool {
        self.out.contains(zone)
    }
}

/// Returns whether `prefix` covers `path` at a segment border.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
