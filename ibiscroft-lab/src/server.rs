//! HTTP server whose connections can be closed or silenced while it runs.

mod silence;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ibiscroft_listener::{ConnectionAcceptor, ConnectionRegistry};
use poem::{IntoEndpoint, Server};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use silence::SilencedConnections;
use silence::SilencingAcceptor;

/// Control of the connections of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerControl {
    /// Open connections.
    pub connections: Arc<ConnectionRegistry>,
    /// Connections that can be silenced.
    pub silenced: Arc<SilencedConnections>,
}

/// A running server; stopped when dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    connections: Arc<ConnectionRegistry>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `endpoint` on `listen`; the system chooses the port if it is 0 in `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start<E>(
        listen: SocketAddr,
        control: ServerControl,
        endpoint: E,
    ) -> io::Result<Self>
    where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let connections = control.connections;
        let acceptor = ConnectionAcceptor::new(listener, connections.clone())?;
        let acceptor = SilencingAcceptor::new(acceptor, control.silenced);
        let endpoint = endpoint.into_endpoint();
        let task = tokio::spawn(async move {
            if let Err(error) = Server::new_with_acceptor(acceptor).run(endpoint).await {
                log::error!("HTTP server on {address} failed: {error}");
            }
        });
        Ok(Self { address, connections, task })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes every connection immediately.
    pub async fn stop(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
        self.connections.close_all();
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
        self.connections.close_all();
    }
}
