//! Asks backend servers what they received and ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use eyre::{Result, WrapErr};
use reqwest::Client;

use crate::backend::{BackendControl, BackendCounters, read_journal};

/// Speaks to one backend server's second listener.
#[derive(Clone, Debug)]
pub struct BackendAdmin {
    client: Client,
    address: SocketAddr,
}

impl BackendAdmin {
    /// A backend server whose second listener has this address.
    ///
    /// # Errors
    ///
    /// Returns why no HTTP client can be made.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let client = Client::builder().no_proxy().build().wrap_err("HTTP client of the judge")?;
        Ok(Self { client, address })
    }

    /// Returns its counters.
    ///
    /// # Errors
    ///
    /// Returns why it does not answer.
    pub async fn counters(&self) -> Result<BackendCounters> {
        let response = self.client.get(self.url("/counters")).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }

    /// Changes the fields of the control that are present.
    ///
    /// # Errors
    ///
    /// Returns why it does not answer.
    pub async fn control(&self, control: &BackendControl) -> Result<()> {
        let request = self.client.post(self.url("/control")).json(control);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Sets its counters to zero.
    ///
    /// # Errors
    ///
    /// Returns why it does not answer.
    pub async fn reset(&self) -> Result<()> {
        self.client.post(self.url("/reset")).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns which of the calls ran there.
    ///
    /// # Errors
    ///
    /// Returns why it does not answer.
    pub async fn ran(&self, calls: &[String]) -> Result<Vec<String>> {
        let request = self.client.post(self.url("/ran")).json(calls);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Executions of all backend servers, from their journals.
#[derive(Clone, Debug, Default)]
pub struct Executed {
    keys: BTreeMap<String, u32>,
    calls: BTreeMap<String, u32>,
}

impl Executed {
    /// Reads all journals.
    ///
    /// # Errors
    ///
    /// Returns which journal cannot be read.
    pub fn read<P: AsRef<Path>>(journals: &[P]) -> Result<Self> {
        let mut executed = Self::default();
        for path in journals {
            for entry in read_journal(path.as_ref())? {
                if let Some(key) = entry.key {
                    *executed.keys.entry(key).or_default() += 1;
                }
                if let Some(call) = entry.call {
                    *executed.calls.entry(call).or_default() += 1;
                }
            }
        }
        Ok(executed)
    }

    /// Returns how often a key ran on all servers together.
    #[must_use]
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// Returns how many keys ran.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Returns the keys that ran more than once.
    #[must_use]
    pub fn doubled(&self) -> Vec<&str> {
        let doubled = self.keys.iter().filter(|(_, runs)| **runs > 1);
        doubled.map(|(key, _)| key.as_str()).collect()
    }

    /// Returns those of the calls that ran.
    #[must_use]
    pub fn ran<'a>(&self, calls: &'a [String]) -> Vec<&'a str> {
        let ran = calls.iter().filter(|call| self.calls.contains_key(*call));
        ran.map(String::as_str).collect()
    }
}
