//! Child processes: started from the lab's own directory, ended by their own ids.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Longest time until a child prints the addresses it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(10);

const LOG_VARIABLE: &str = "RUST_LOG";
const DEFAULT_LOG: &str = "error";

/// The line that a stand-in prints once it listens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StandInAddresses {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Address for control and counters.
    pub admin: SocketAddr,
}

/// The line that a gateway prints once it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct GatewayAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program and reads the line of JSON that it prints once it listens.
    ///
    /// # Errors
    ///
    /// Returns why the program cannot be started or what it printed instead.
    pub async fn start<T: DeserializeOwned>(
        name: impl Into<String>,
        program: &Path,
        arguments: &[String],
    ) -> Result<(Self, T)> {
        let name = name.into();
        let mut child = Command::new(program)
            .args(arguments)
            .env(LOG_VARIABLE, std::env::var(LOG_VARIABLE).unwrap_or(DEFAULT_LOG.to_string()))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        let stdout = child.stdout.take().ok_or_else(|| eyre!("{name} has no output"))?;
        let mut line = String::new();
        let mut lines = BufReader::new(stdout);
        tokio::time::timeout(START_TIMEOUT, lines.read_line(&mut line))
            .await
            .wrap_err_with(|| format!("{name} does not say where it listens"))??;
        let addresses = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} printed {line:?} in place of its addresses"))?;
        Ok((Self { name, child }, addresses))
    }

    /// Returns the name given at the start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    ///
    /// # Errors
    ///
    /// Returns that the process has ended.
    pub fn id(&self) -> Result<u32> {
        self.child.id().ok_or_else(|| eyre!("{} has ended", self.name))
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Asks the process to stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns why the signal cannot be sent.
    pub async fn terminate(&self) -> Result<()> {
        let id = self.id()?;
        let status = Command::new("kill").arg("-TERM").arg(id.to_string()).status().await?;
        if !status.success() {
            bail!("cannot send SIGTERM to {}", self.name);
        }
        Ok(())
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns why its end cannot be awaited.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}

/// Returns the path of a program that lies beside the lab's own executable.
///
/// # Errors
///
/// Returns which program is missing, with the command that builds it.
pub fn program(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("cannot find the lab's own executable")?;
    for directory in own.ancestors().skip(1).take(2) {
        let path = directory.join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    bail!("{name} is not beside {}; build it with `cargo build --bins`", own.display())
}
