//! Kinds of calls and their weights.

use serde::{Deserialize, Serialize};

/// Distribution of the work of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    /// Always equal to the mean.
    #[default]
    Fixed,
    /// Exponential distribution.
    Exponential,
}

/// One kind of call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKind {
    /// Name in reports.
    pub name: String,
    /// Weight of this kind; its share is the weight divided by the sum over all kinds.
    pub weight: f64,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Host header, for services that are routed by host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path without a query.
    pub path: String,
    /// Length of the response body, in bytes.
    #[serde(default = "default_bytes")]
    pub bytes: u64,
    /// Mean work at the backend server, in milliseconds.
    #[serde(default)]
    pub work_ms: f64,
    /// Distribution of the work.
    #[serde(default)]
    pub work: WorkDistribution,
    /// Length of the request body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether calls are at-most-once requests, each with its own idempotency key.
    #[serde(default)]
    pub at_most_once: bool,
}

impl CallKind {
    /// Creates a GET of `path` that takes no work.
    #[must_use]
    pub fn get(name: impl Into<String>, path: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            weight: 1.0,
            method: default_method(),
            host: None,
            path: path.into(),
            bytes: default_bytes(),
            work_ms: 0.0,
            work: WorkDistribution::Fixed,
            body_bytes: 0,
            at_most_once: false,
        }
    }

    /// Sets the weight.
    #[must_use]
    pub fn weight(mut self, weight: f64) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the length of the response body, in bytes.
    #[must_use]
    pub fn bytes(mut self, bytes: u64) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets the mean work, in milliseconds.
    #[must_use]
    pub fn work_ms(mut self, work_ms: f64) -> Self {
        self.work_ms = work_ms;
        self
    }

    /// Makes the calls POST requests that must run at most once.
    #[must_use]
    pub fn at_most_once_post(mut self) -> Self {
        self.method = "POST".to_string();
        self.at_most_once = true;
        self
    }
}

fn default_method() -> String {
    "GET".to_string()
}

fn default_bytes() -> u64 {
    64
}
