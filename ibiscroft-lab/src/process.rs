//! Child processes, started from programs in the directory of the lab's executable.

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

/// Longest time until a child process prints the addresses it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(10);

const LOG_VARIABLE: &str = "RUST_LOG";
/// Log filter of child processes when the lab's own environment sets none.
const DEFAULT_LOG_FILTER: &str = "error";

/// Addresses that a stand-in prints as a line of JSON once it listens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StandInAddresses {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Address of the admin listener, for control and counters.
    pub admin: SocketAddr,
}

/// Addresses that a gateway prints as a line of JSON once it listens.
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
    /// Returns an error if the program cannot be started, prints nothing within 10 s, or prints
    /// something else.
    pub async fn start<T: DeserializeOwned>(
        name: impl Into<String>,
        program: &Path,
        arguments: &[String],
    ) -> Result<(Self, T)> {
        let name = name.into();
        let mut child = Command::new(program)
            .args(arguments)
            .env(
                LOG_VARIABLE,
                std::env::var(LOG_VARIABLE).unwrap_or(DEFAULT_LOG_FILTER.to_string()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start program {}", program.display()))?;
        let stdout =
            child.stdout.take().ok_or_else(|| eyre!("standard output of {name} is not piped"))?;
        let mut line = String::new();
        let mut lines = BufReader::new(stdout);
        tokio::time::timeout(START_TIMEOUT, lines.read_line(&mut line)).await.wrap_err_with(
            || format!("{name} did not print its addresses within {START_TIMEOUT:?}"),
        )??;
        let addresses = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} printed {line:?} instead of its addresses"))?;
        Ok((Self { name, child }, addresses))
    }

    /// Returns the name that was given to [`Self::start`].
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn id(&self) -> Result<u32> {
        self.child.id().ok_or_else(|| eyre!("process {} has ended", self.name))
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Sends SIGTERM to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the signal cannot be sent.
    pub async fn terminate(&self) -> Result<()> {
        let id = self.id()?;
        let status = Command::new("kill").arg("-TERM").arg(id.to_string()).status().await?;
        if !status.success() {
            bail!("cannot send SIGTERM to {}, process {id}: kill ended with {status}", self.name);
        }
        Ok(())
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for the process fails.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}

/// Returns the path of a program in the directory of the lab's executable or in its parent.
///
/// # Errors
///
/// Returns an error if the program is in neither, with the command that builds it.
pub fn program(name: &str) -> Result<PathBuf> {
    let executable =
        std::env::current_exe().wrap_err("cannot find the path of the lab's executable")?;
    for directory in executable.ancestors().skip(1).take(2) {
        let path = directory.join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    bail!(
        "program {name} not found next to {}; build it with `cargo build --bins`",
        executable.display()
    )
}
