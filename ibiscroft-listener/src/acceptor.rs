//! Acceptor that registers each connection before poem serves it.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;
use tokio::runtime::Handle;

use crate::connection::Connection;
use crate::connections::ConnectionRegistry;

/// Pause after a failed accept, which fails again at once while no descriptor is free.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of turns of the runtime that an accepted connection waits for its place.
const MAX_PLACE_TURNS: usize = 100;

/// Accepts connections, sets `TCP_NODELAY` on them and registers them.
#[derive(Debug)]
pub struct ConnectionAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    connections: Arc<ConnectionRegistry>,
}

impl ConnectionAcceptor {
    /// Creates an acceptor that registers the connections of `listener` in `connections`.
    ///
    /// # Errors
    ///
    /// Returns an error if the local address of the listener cannot be read.
    pub fn new(listener: TcpListener, connections: Arc<ConnectionRegistry>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        Ok(Self { listener, address, connections })
    }
}

impl ConnectionAcceptor {
    /// Closes the connection that has been unused for the longest time if there is no place for
    /// another one; returns whether there is one then.
    async fn make_place(&self) -> bool {
        let connections = &self.connections;
        if connections.open_count() < connections.bounds().max_open() {
            return true;
        }
        if !connections.close_longest_unused() {
            return false;
        }
        for _ in 0..MAX_PLACE_TURNS {
            tokio::task::yield_now().await;
            if connections.open_count() < connections.bounds().max_open() {
                return true;
            }
            // The closed one may have been given up by its handler and now wait for its caller.
            connections.close_lingering();
        }
        false
    }
}

impl Acceptor for ConnectionAcceptor {
    type Io = ConnectionStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(ConnectionStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = loop {
            match self.listener.accept().await {
                Ok(accepted) if self.make_place().await => break accepted,
                Ok(_) => self.connections.bounds().count_refused(),
                Err(_) => tokio::time::sleep(ACCEPT_ERROR_PAUSE).await,
            }
        };
        stream.set_nodelay(true)?;
        let bounds = Arc::clone(self.connections.bounds());
        let connection = Arc::new(Connection::new(stream, bounds));
        self.connections.insert(peer, Arc::clone(&connection));
        let connections = Arc::clone(&self.connections);
        let io = ConnectionStream { connection, peer, connections };
        Ok((io, LocalAddr(self.address.into()), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// Stream of a registered connection, which is removed from the registry after the stream is
/// dropped; up to half a second later if the caller has not closed its side.
#[derive(Debug)]
pub struct ConnectionStream {
    connection: Arc<Connection>,
    peer: SocketAddr,
    connections: Arc<ConnectionRegistry>,
}

impl ConnectionStream {
    /// Returns the connection of the stream.
    pub(crate) const fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }
}

impl Drop for ConnectionStream {
    fn drop(&mut self) {
        let connections = Arc::clone(&self.connections);
        let (connection, peer) = (Arc::clone(&self.connection), self.peer);
        let is_closed_by_server = !connection.has_ended();
        connection.mark_ended();
        match Handle::try_current() {
            Ok(runtime) if is_closed_by_server => {
                runtime.spawn(async move {
                    connection.linger().await;
                    connections.remove(peer, &connection);
                });
            }
            _ => connections.remove(peer, &connection),
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.poll_read(cx, buf)
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.shutdown_write();
        Poll::Ready(Ok(()))
    }
}
