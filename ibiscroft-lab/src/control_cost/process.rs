//! A gateway process started for a measurement.

use std::net::SocketAddr;
use std::process::Stdio;

use eyre::{Result, WrapErr, eyre};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// A gateway process; killed when dropped.
#[derive(Debug)]
pub(super) struct GatewayProcess {
    child: Child,
    pub(super) operators: SocketAddr,
}

impl GatewayProcess {
    /// Starts the gateway `gw-INDEX` from the program beside this one.
    pub(super) async fn start(index: usize, zone: &str, store: SocketAddr) -> Result<Self> {
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "instance": format!("gw-{index}"),
            "availability_zone": zone,
            "caller_listen": any_port,
            "operator_listen": any_port,
            "peer_listen": any_port,
            "store": [store],
            "traffic_threads": 1,
        });
        let file = format!("ibiscroft-cost-{}-{}-{index}.json", std::process::id(), store.port());
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, settings.to_string())?;
        let program = std::env::current_exe()?.with_file_name("ibiscroft-gateway");
        let mut child = Command::new(&program)
            .arg("--settings")
            .arg(&file)
            .env("RUST_LOG", "off")
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("no output of the gateway"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).await?;
        let _ = std::fs::remove_file(&file);
        let announced: Value = serde_json::from_str(&line).wrap_err("gateway did not start")?;
        let operators = announced["operators"].as_str().unwrap_or_default().parse()?;
        Ok(Self { child, operators })
    }

    /// Returns the process id.
    pub(super) fn pid(&self) -> Result<u32> {
        self.child.id().ok_or_else(|| eyre!("a gateway ended"))
    }
}
