//! Sends requests through a gateway until it takes every target for warm.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail};
use serde_json::Value;

/// Longest time until all targets are warm; the first lease holders wait some seconds.
const LIMIT: Duration = Duration::from_secs(40);
/// Pause between requests.
const INTERVAL: Duration = Duration::from_millis(20);

/// Warms the targets of the service at `path`, as seen from one gateway.
///
/// # Errors
///
/// Returns that the gateway's state cannot be read, or that targets stay cold.
pub async fn warm_up(callers: SocketAddr, operators: SocketAddr, path: &str) -> Result<()> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let requests = async {
        while !has_only_warm_targets(&http, operators).await? {
            let _ = http.get(format!("http://{callers}{path}")).send().await;
            tokio::time::sleep(INTERVAL).await;
        }
        Ok(())
    };
    match tokio::time::timeout(LIMIT, requests).await {
        Ok(warmed) => warmed,
        Err(_) => bail!("targets stay cold at the gateway {callers}"),
    }
}

async fn has_only_warm_targets(http: &reqwest::Client, operators: SocketAddr) -> Result<bool> {
    let dump: Value = http.get(format!("http://{operators}/dump")).send().await?.json().await?;
    let targets = dump["targets"].as_array().map(Vec::as_slice).unwrap_or_default();
    Ok(!targets.is_empty() && targets.iter().all(|target| target["state"] == "warm"))
}
