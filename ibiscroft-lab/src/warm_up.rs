//! Sends requests until gateways regard every target as warm.

use std::time::Duration;

use eyre::{Result, WrapErr};
use reqwest::Client;
use serde::Deserialize;

use crate::process::GatewayAddresses;

/// Longest warm-up of one gateway.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Delay between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// The part of a gateway's dump with the states of its targets.
#[derive(Debug, Deserialize)]
struct Dump {
    targets: Vec<TargetDump>,
}

/// State of a target in a dump.
#[derive(Debug, Deserialize)]
struct TargetDump {
    state: String,
}

/// Sends requests for `path` through each gateway until the gateway reports all targets as warm.
///
/// # Errors
///
/// Returns an error if the dump of a gateway cannot be read or its targets are not warm within
/// 60 s.
pub async fn warm_up(gateways: &[GatewayAddresses], path: &str) -> Result<()> {
    let client = Client::builder().no_proxy().build()?;
    for gateway in gateways {
        tokio::time::timeout(TIMEOUT, warm_up_gateway(&client, gateway, path))
            .await
            .wrap_err_with(|| {
                format!("targets of gateway {} not warm within {TIMEOUT:?}", gateway.callers)
            })??;
    }
    Ok(())
}

async fn warm_up_gateway(client: &Client, gateway: &GatewayAddresses, path: &str) -> Result<()> {
    while !has_only_warm_targets(client, gateway).await? {
        let _ = client.get(format!("http://{}{path}", gateway.callers)).send().await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    Ok(())
}

async fn has_only_warm_targets(client: &Client, gateway: &GatewayAddresses) -> Result<bool> {
    let dump = client.get(format!("http://{}/dump", gateway.operators)).send().await?;
    let dump: Dump =
        dump.json().await.wrap_err("cannot read the states of targets in the dump of a gateway")?;
    Ok(!dump.targets.is_empty() && dump.targets.iter().all(|target| target.state == "warm"))
}
