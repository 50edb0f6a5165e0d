//! What backend servers received and executed, from their admin listeners and journals.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use eyre::{Result, WrapErr};
use reqwest::Client;

use crate::backend::{BackendControl, BackendCounters, read_journal};

/// Client of the admin listener of a backend server.
#[derive(Clone, Debug)]
pub struct BackendAdmin {
    client: Client,
    address: SocketAddr,
}

impl BackendAdmin {
    /// Creates a client for the admin listener at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .build()
            .wrap_err("cannot build the HTTP client for the admin listener")?;
        Ok(Self { client, address })
    }

    /// Returns the counters of the backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response is an error or invalid.
    pub async fn counters(&self) -> Result<BackendCounters> {
        let response = self.client.get(self.url("/counters")).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Applies the fields of `control` that are present.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response is an error or invalid.
    pub async fn control(&self, control: &BackendControl) -> Result<()> {
        let request = self.client.post(self.url("/control")).json(control);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Resets the counters and the recorded executions.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response is an error or invalid.
    pub async fn reset(&self) -> Result<()> {
        self.client.post(self.url("/reset")).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns those of `calls` that the backend server has executed since its last reset.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response is an error or invalid.
    pub async fn executed_calls(&self, calls: &[String]) -> Result<Vec<String>> {
        let request = self.client.post(self.url("/ran")).json(calls);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Executions on all backend servers, read from their journals.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    /// Number of executions by idempotency key.
    keys: BTreeMap<String, u32>,
    /// Number of executions by call id.
    calls: BTreeMap<String, u32>,
}

impl ExecutionLog {
    /// Reads the journals of several backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a journal cannot be read or has an invalid entry.
    pub fn read<P: AsRef<Path>>(journals: &[P]) -> Result<Self> {
        let mut log = Self::default();
        for path in journals {
            for entry in read_journal(path.as_ref())? {
                if let Some(key) = entry.key {
                    *log.keys.entry(key).or_default() += 1;
                }
                if let Some(call) = entry.call {
                    *log.calls.entry(call).or_default() += 1;
                }
            }
        }
        Ok(log)
    }

    /// Returns how many requests with an idempotency key were executed on all servers.
    #[must_use]
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of distinct idempotency keys that were executed.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the idempotency keys that were executed more than once.
    #[must_use]
    pub fn duplicate_keys(&self) -> Vec<&str> {
        let duplicates = self.keys.iter().filter(|(_, executions)| **executions > 1);
        duplicates.map(|(key, _)| key.as_str()).collect()
    }

    /// Returns those of `calls` that were executed.
    #[must_use]
    pub fn executed_calls<'a>(&self, calls: &'a [String]) -> Vec<&'a str> {
        let executed = calls.iter().filter(|call| self.calls.contains_key(*call));
        executed.map(String::as_str).collect()
    }
}
