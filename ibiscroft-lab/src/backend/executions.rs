//! Executed requests by idempotency key and by call id.

use std::collections::{HashMap, HashSet};

/// Request header with the id of a call sent by the load generator.
pub const CALL_HEADER: &str = "x-lab-call";

/// Upper bound on the number of idempotency keys, and of calls, that are recorded.
const MAX_RECORDED: usize = 1_000_000;

/// Executions by idempotency key, and the calls that were executed.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    keys: HashMap<String, u32>,
    calls: HashSet<String>,
}

impl Executions {
    /// Records that a request started to run.
    pub fn record(&mut self, key: Option<&str>, call: Option<&str>) {
        if let Some(key) = key
            && self.keys.len() < MAX_RECORDED
        {
            *self.keys.entry(key.to_string()).or_default() += 1;
        }
        if let Some(call) = call
            && self.calls.len() < MAX_RECORDED
        {
            self.calls.insert(call.to_string());
        }
    }

    /// Returns how many requests with an idempotency key were executed.
    #[must_use]
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// Returns those of `calls` that were executed.
    #[must_use]
    pub fn executed_calls(&self, calls: &[String]) -> Vec<String> {
        calls.iter().filter(|call| self.calls.contains(*call)).cloned().collect()
    }

    /// Returns the number of distinct idempotency keys that were executed.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the idempotency keys that were executed more than once, sorted.
    #[must_use]
    pub fn duplicate_keys(&self) -> Vec<String> {
        let mut duplicates = Vec::new();
        for (key, executions) in &self.keys {
            if *executions < 2 {
                continue;
            }
            duplicates.push(key.clone());
        }
        duplicates.sort();
        duplicates
    }
}
