//! Routes: map requests to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::copy_data;
use crate::ids::ServiceName;

copy_data! {
    /// Whether a request may be processed more than once.
    #[derive(Serialize, Deserialize)]
    pub enum Repeatable {
        /// It may be processed any number of times.
        Yes,
        /// It must be processed at most once.
        No,
        /// It may be processed any number of times, and its response is large.
        Download,
    }
}

impl Repeatable {
    /// Returns whether a request may be sent again if its outcome is unknown.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        !matches!(self, Self::No)
    }
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service, relative to the other weights of the route.
    pub weight: f64,
}

/// One route of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths of the requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be processed more than once.
    pub repeatable: Repeatable,
    /// Time after which a request times out.
    pub timeout: Duration,
    /// Latency objective: a response is worth most within this time.
    pub aim: Duration,
    /// Priority among the requests of a service; 0 is the highest.
    pub priority: u32,
    /// Services that serve the requests.
    pub shares: Vec<Share>,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether callers need no key, even if the configuration has organisations.
    #[serde(default)]
    pub is_public: bool,
}
