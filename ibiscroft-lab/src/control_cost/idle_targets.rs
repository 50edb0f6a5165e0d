//! Targets that accept connections and never respond.

use std::net::SocketAddr;

use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Listeners in place of targets; closed when dropped.
#[derive(Debug)]
pub(super) struct IdleTargets {
    addresses: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl IdleTargets {
    /// Starts `count` listeners on loopback.
    pub(super) async fn start(count: usize) -> Result<Self> {
        let mut addresses = Vec::new();
        let mut tasks = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tasks.push(tokio::spawn(hold_connections(listener)));
        }
        Ok(Self { addresses, tasks })
    }

    /// Returns the addresses of the listeners.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

impl Drop for IdleTargets {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Accepts connections and keeps each open until the peer closes it.
async fn hold_connections(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut buf = [0; 256];
            while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {}
        });
    }
}
