//! Client of the platform's key-value service (the store).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ibiscroft_core::copy_data;
use ibiscroft_core::ids::StoreVersion;
use ibiscroft_wire::generated::store::{
    Entry, EntryList, InstanceList, LeaseAnswer, LeaseRequest, PutAnswer, PutRequest, WatchAnswer,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::StoreError;

/// Timeout for opening a connection to one address.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest body of a response, in bytes; a configuration has at most 1 MB.
const MAX_BODY_BYTES: usize = 8 << 20;

copy_data! {
    /// Identifier of a lease of the key-value service.
    pub struct LeaseId(pub u64);
}

/// Client of the key-value service that tries the addresses of the service in turn.
///
/// A call starts with the address that responded last, and goes on to the next one only if no
/// connection can be opened. Clones share their connections and the preferred address.
///
/// # Errors
///
/// Every call returns [`StoreError::Unreachable`] if no address accepts a connection,
/// [`StoreError::NoResponse`] if the response is late, lost, longer than 8 MB, a server error (5xx)
/// or cannot be decoded, and [`StoreError::Refused`] if its status is otherwise unexpected.
#[derive(Clone, Debug)]
pub struct StoreClient {
    client: Client,
    addresses: Arc<[SocketAddr]>,
    /// Index of the address that responded last; server errors (5xx) do not count.
    preferred: Arc<AtomicUsize>,
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client for `addresses`; `timeout` limits each attempt of a call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] if `addresses` is empty or the HTTP client cannot be
    /// created.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Result<Self, StoreError> {
        if addresses.is_empty() {
            return Err(StoreError::Refused("no address of the store is configured".to_string()));
        }
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .connect_timeout(CONNECT_TIMEOUT)
            .retry(reqwest::retry::never())
            .build()
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        Ok(Self {
            client,
            addresses: addresses.into(),
            preferred: Arc::new(AtomicUsize::new(0)),
            timeout,
        })
    }

    /// Reads a key; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns one of the errors that every call may return, see [`StoreClient`].
    pub async fn read(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let call =
            |address| self.client.get(format!("http://{address}/v1/kv")).query(&[("key", key)]);
        let res = self.call(call, self.timeout).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(res).await.map(Some)
    }

    /// Writes a key if its version is `expected`, and returns the new version. Version 0 stands for
    /// a key that does not exist. With a `lease`, the key is deleted when the lease ends.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] with the version found if it is another one, and
    /// [`StoreError::NotFound`] if the lease does not exist. After [`StoreError::NoResponse`] the
    /// write may have taken effect; reading the key shows whether it did.
    pub async fn write(
        &self,
        key: &str,
        value: String,
        expected: StoreVersion,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        let body = PutRequest {
            value,
            expected_version: expected.get(),
            lease: lease.map(|lease| lease.0),
        };
        let call = |address| {
            let url = format!("http://{address}/v1/kv");
            self.client.put(url).query(&[("key", key)]).json(&body)
        };
        let res = self.call(call, self.timeout).await?;
        match res.status() {
            StatusCode::NOT_FOUND => Err(StoreError::NotFound),
            StatusCode::CONFLICT => {
                let conflict: PutAnswer = decode_body(res).await?;
                Err(StoreError::Conflict(StoreVersion(conflict.version)))
            }
            _ => decode::<PutAnswer>(res).await.map(|written| StoreVersion(written.version)),
        }
    }

    /// Deletes a key if its version is `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] with the version found if it is another one.
    pub async fn delete(&self, key: &str, expected: StoreVersion) -> Result<(), StoreError> {
        let version = expected.to_string();
        let query = [("key", key), ("expected_version", version.as_str())];
        let call = |address| self.client.delete(format!("http://{address}/v1/kv")).query(&query);
        let res = self.call(call, self.timeout).await?;
        match res.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let conflict: PutAnswer = decode_body(res).await?;
                Err(StoreError::Conflict(StoreVersion(conflict.version)))
            }
            status => Err(StoreError::Refused(status.to_string())),
        }
    }

    /// Lists the keys under a prefix with their values.
    ///
    /// # Errors
    ///
    /// Returns one of the errors that every call may return, see [`StoreClient`].
    pub async fn list(&self, prefix: &str) -> Result<EntryList, StoreError> {
        let call = |address| {
            self.client.get(format!("http://{address}/v1/list")).query(&[("prefix", prefix)])
        };
        decode(self.call(call, self.timeout).await?).await
    }

    /// Waits up to `wait` for changes to keys under a prefix after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns one of the errors that every call may return, see [`StoreClient`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let wait_ms = wait.as_millis().to_string();
        let after = after.to_string();
        let query = [("prefix", prefix), ("after", &after), ("wait_ms", &wait_ms)];
        let call = |address| self.client.get(format!("http://{address}/v1/watch")).query(&query);
        decode(self.call(call, wait + self.timeout).await?).await
    }

    /// Requests a lease that ends `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns one of the errors that every call may return, see [`StoreClient`].
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = LeaseRequest { ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX) };
        let call = |address| self.client.post(format!("http://{address}/v1/leases")).json(&body);
        let grant: LeaseAnswer = decode(self.call(call, self.timeout).await?).await?;
        Ok(LeaseId(grant.lease))
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotFound`] if the lease has ended.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.lease_call("renew", lease).await
    }

    /// Ends a lease, which deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns one of the errors that every call may return, see [`StoreClient`].
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.lease_call("revoke", lease).await
    }

    /// Reads the platform's list of instances, which lags behind their actual state.
    ///
    /// # Errors
    ///
    /// Returns one of the errors that every call may return, see [`StoreClient`].
    pub async fn instances(&self) -> Result<InstanceList, StoreError> {
        let call = |address| self.client.get(format!("http://{address}/v1/instances"));
        decode(self.call(call, self.timeout).await?).await
    }

    async fn lease_call(&self, verb: &str, lease: LeaseId) -> Result<(), StoreError> {
        let call = |address| {
            let url = format!("http://{address}/v1/leases/{verb}");
            self.client.post(url).query(&[("lease", lease.0)])
        };
        let res = self.call(call, self.timeout).await?;
        match res.status() {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::NotFound),
            status => Err(StoreError::Refused(status.to_string())),
        }
    }

    /// Sends a call to the first address that accepts a connection; `timeout` limits each attempt.
    async fn call(
        &self,
        build: impl Fn(SocketAddr) -> RequestBuilder,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut connect_error = String::new();
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            let sent = build(self.addresses[index]).timeout(timeout).send().await;
            match sent {
                Ok(res) if res.status().is_server_error() => {
                    return Err(StoreError::NoResponse(res.status().to_string()));
                }
                Ok(res) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(res);
                }
                Err(error) if error.is_connect() => connect_error = error.to_string(),
                Err(error) => return Err(StoreError::NoResponse(error.to_string())),
            }
        }
        Err(StoreError::Unreachable(connect_error))
    }
}

/// Decodes the body of a successful response; any other status is an error.
async fn decode<T: DeserializeOwned>(res: Response) -> Result<T, StoreError> {
    if !res.status().is_success() {
        return Err(StoreError::Refused(res.status().to_string()));
    }
    decode_body(res).await
}

/// Decodes the body of a response, whatever its status.
async fn decode_body<T: DeserializeOwned>(mut res: Response) -> Result<T, StoreError> {
    let lost = |error: reqwest::Error| StoreError::NoResponse(error.to_string());
    let mut body = Vec::new();
    while let Some(chunk) = res.chunk().await.map_err(lost)? {
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            let cause = format!("body of more than {MAX_BODY_BYTES} bytes");
            return Err(StoreError::NoResponse(cause));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).map_err(|error| StoreError::NoResponse(error.to_string()))
}
