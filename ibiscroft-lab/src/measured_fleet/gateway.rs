//! A gateway process started for a measurement.

use std::net::SocketAddr;

use eyre::Result;
use serde_json::json;

use crate::process::{GatewayAddresses, Process, program};

/// A gateway process; killed when dropped.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) process: Process,
    pub(super) addresses: GatewayAddresses,
}

impl Gateway {
    /// Starts the gateway `gw-INDEX`.
    pub(super) async fn start(
        index: usize,
        zone: &str,
        store: SocketAddr,
        traffic_threads: usize,
    ) -> Result<Self> {
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "instance": format!("gw-{index}"),
            "availability_zone": zone,
            "caller_listen": any_port,
            "operator_listen": any_port,
            "peer_listen": any_port,
            "store": [store],
            "traffic_threads": traffic_threads,
        });
        let file = format!("ibiscroft-{}-{}-{index}.json", std::process::id(), store.port());
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, settings.to_string())?;
        let arguments = ["--settings".to_string(), file.display().to_string()];
        let program = program("ibiscroft-gateway")?;
        let started = Process::start(format!("gw-{index}"), &program, &arguments).await;
        let _ = std::fs::remove_file(&file);
        let (process, addresses) = started?;
        Ok(Self { process, addresses })
    }
}
