//! Client of the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use ibiscroft_wire::codec;
use ibiscroft_wire::generated::store::{Entry, EntryList, PutAnswer, PutRequest};
use reqwest::{Client, StatusCode, Url};

use crate::error::OpsError;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads and writes keys; addresses are tried in turn.
#[derive(Clone, Debug)]
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    http: Client,
}

/// How a compare-and-swap ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PutOutcome {
    /// The store confirmed the write.
    Written,
    /// The key has another version than the expected one.
    Conflict,
    /// The answer was lost; the write may have taken effect.
    Lost,
}

impl StoreClient {
    /// Makes a client for the store on `addresses`.
    ///
    /// # Errors
    ///
    /// Returns a usage error when `addresses` is empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, OpsError> {
        if addresses.is_empty() {
            return Err(OpsError::Usage("--store ADDR[,ADDR] is required".to_string()));
        }
        Ok(Self { addresses, http: http_client()? })
    }

    /// Reads one key; `None` when it does not exist.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Entry>, OpsError> {
        let (status, body) = self.get("/v1/kv", ("key", key)).await?;
        match status {
            StatusCode::OK => decode(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status, &body)),
        }
    }

    /// Lists the keys under a prefix.
    pub(crate) async fn list(&self, prefix: &str) -> Result<EntryList, OpsError> {
        let (status, body) = self.get("/v1/list", ("prefix", prefix)).await?;
        match status {
            StatusCode::OK => decode(&body),
            status => Err(unexpected(status, &body)),
        }
    }

    /// Writes a key when its version is `expected_version`; 0 means that it must not exist.
    pub(crate) async fn put(
        &self,
        key: &str,
        value: String,
        expected_version: u64,
    ) -> Result<PutOutcome, OpsError> {
        let request = PutRequest { value, expected_version, lease: None };
        let mut cause = String::new();
        for address in &self.addresses {
            let url = url(*address, "/v1/kv", ("key", key))?;
            let sent = self.http.put(url).json(&request).send().await;
            let answer = match sent {
                Ok(answer) => answer,
                Err(error) if error.is_connect() => {
                    cause = root_cause(&error);
                    continue;
                }
                Err(_) => return Ok(PutOutcome::Lost),
            };
            let status = answer.status();
            let Ok(body) = answer.text().await else {
                return Ok(PutOutcome::Lost);
            };
            return put_outcome(status, &body);
        }
        Err(OpsError::StoreUnavailable { tried: self.addresses.clone(), cause })
    }

    async fn get(
        &self,
        path: &str,
        parameter: (&str, &str),
    ) -> Result<(StatusCode, String), OpsError> {
        let mut cause = String::new();
        for address in &self.addresses {
            let url = url(*address, path, parameter)?;
            match fetch(&self.http, url).await {
                Ok((status, body)) if !status.is_server_error() => return Ok((status, body)),
                Ok((status, _)) => cause = format!("answered {status}"),
                Err(error) => cause = root_cause(&error),
            }
        }
        Err(OpsError::StoreUnavailable { tried: self.addresses.clone(), cause })
    }
}

/// Makes an HTTP client with bounded waits.
pub(crate) fn http_client() -> Result<Client, OpsError> {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(ANSWER_TIMEOUT)
        .build()
        .map_err(|error| OpsError::Usage(error.to_string()))
}

/// Fetches a whole answer as text.
pub(crate) async fn fetch(http: &Client, url: Url) -> Result<(StatusCode, String), reqwest::Error> {
    let answer = http.get(url).send().await?;
    let status = answer.status();
    Ok((status, answer.text().await?))
}

/// Returns the innermost cause of an error, which names what the system said.
pub(crate) fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

fn put_outcome(status: StatusCode, body: &str) -> Result<PutOutcome, OpsError> {
    match status {
        StatusCode::OK => decode::<PutAnswer>(body).map(|_| PutOutcome::Written),
        StatusCode::CONFLICT => Ok(PutOutcome::Conflict),
        status if status.is_server_error() => Ok(PutOutcome::Lost),
        status => Err(unexpected(status, body)),
    }
}

fn url(address: SocketAddr, path: &str, parameter: (&str, &str)) -> Result<Url, OpsError> {
    Url::parse_with_params(&format!("http://{address}{path}"), [parameter])
        .map_err(|error| OpsError::Usage(error.to_string()))
}

fn decode<T: serde::de::DeserializeOwned>(body: &str) -> Result<T, OpsError> {
    codec::from_json(body).map_err(|error| OpsError::StoreProtocol(error.to_string()))
}

fn unexpected(status: StatusCode, body: &str) -> OpsError {
    OpsError::StoreProtocol(format!("{status}: {body}"))
}
