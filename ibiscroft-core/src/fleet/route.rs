//! Routes: which requests go to which services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::copy_data;
use crate::ids::ServiceName;

copy_data! {
    /// Whether a request may run more than once.
    #[derive(Serialize, Deserialize)]
    pub enum Repeatable {
        /// It may run any number of times.
        Yes,
        /// It runs at most once.
        No,
        /// It may run any number of times, and its answer is large.
        Download,
    }
}

impl Repeatable {
    /// Returns whether a request whose outcome is unknown may be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        !matches!(self, Self::No)
    }
}

/// A service's part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other weights of the route.
    pub weight: f64,
}

/// One route of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: String,
    /// Host that a request must name, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeatable: Repeatable,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub aim: Duration,
    /// Rank among the requests of a service; 0 is the most urgent.
    pub priority: u32,
    /// Services that serve the requests.
    pub shares: Vec<Share>,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
}
