//! Which requests ran, and how often.

use std::collections::{HashMap, HashSet};

/// Header by which a lab caller names its call.
pub const CALL_HEADER: &str = "x-lab-call";

/// Most idempotency keys and most calls that are remembered.
const MAX_REMEMBERED: usize = 1_000_000;

/// Executions by idempotency key and by call.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    keys: HashMap<String, u32>,
    calls: HashSet<String>,
}

impl Executions {
    /// A request began to run.
    pub fn record(&mut self, key: Option<&str>, call: Option<&str>) {
        if let Some(key) = key
            && self.keys.len() < MAX_REMEMBERED
        {
            *self.keys.entry(key.to_string()).or_default() += 1;
        }
        if let Some(call) = call
            && self.calls.len() < MAX_REMEMBERED
        {
            self.calls.insert(call.to_string());
        }
    }

    /// Returns how often a key ran.
    #[must_use]
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// Returns the calls among `asked` that ran.
    #[must_use]
    pub fn ran(&self, asked: &[String]) -> Vec<String> {
        asked.iter().filter(|call| self.calls.contains(*call)).cloned().collect()
    }

    /// Returns how many keys ran.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Returns the keys that ran more than once.
    #[must_use]
    pub fn doubled(&self) -> Vec<String> {
        let mut doubled = Vec::new();
        for (key, runs) in &self.keys {
            if *runs < 2 {
                continue;
            }
            doubled.push(key.clone());
        }
        doubled.sort();
        doubled
    }
}
