//! Kinds of calls and their shares.

use serde::{Deserialize, Serialize};

/// How the work of a call is drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    /// Always the mean.
    #[default]
    Fixed,
    /// Exponentially distributed.
    Exponential,
}

/// One kind of call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKind {
    /// Name in reports.
    pub name: String,
    /// Share among all kinds.
    pub weight: f64,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Host header, when it decides the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path without query.
    pub path: String,
    /// Bytes of the answer.
    #[serde(default = "default_bytes")]
    pub bytes: u64,
    /// Mean work at the backend server, in milliseconds.
    #[serde(default)]
    pub work_ms: f64,
    /// How the work is drawn.
    #[serde(default)]
    pub work: WorkDistribution,
    /// Bytes of the request's body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether each call carries an idempotency key of its own.
    #[serde(default)]
    pub at_most_once: bool,
}

impl CallKind {
    /// A GET of `path` that needs no work.
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

    /// Sets the share among all kinds.
    #[must_use]
    pub fn weight(mut self, weight: f64) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the bytes of the answer.
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

    /// Makes it a POST that must run at most once.
    #[must_use]
    pub fn order(mut self) -> Self {
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
