//! Acceptor that registers each connection before it is served.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;

use super::connections::{Connection, Connections};

const DISCARD_BYTES: usize = 16 * 1024;

/// Accepts connections and registers them.
#[derive(Debug)]
pub(super) struct ControlledAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    connections: Arc<Connections>,
}

impl ControlledAcceptor {
    pub(super) fn new(
        listener: TcpListener,
        address: SocketAddr,
        connections: Arc<Connections>,
    ) -> Self {
        Self { listener, address, connections }
    }
}

impl Acceptor for ControlledAcceptor {
    type Io = ControlledStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(ControlledStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let connection = Arc::new(Connection::new(stream));
        self.connections.insert(peer, connection.clone());
        let io = ControlledStream { connection, peer, connections: self.connections.clone() };
        Ok((io, LocalAddr(self.address.into()), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// Stream over a registered connection; removes it from the register when dropped.
#[derive(Debug)]
pub(super) struct ControlledStream {
    connection: Arc<Connection>,
    peer: SocketAddr,
    connections: Arc<Connections>,
}

impl Drop for ControlledStream {
    fn drop(&mut self) {
        self.connections.remove(self.peer);
        self.connection.set_ended();
    }
}

impl ControlledStream {
    /// Reads what has arrived, and discards it when the connection is silent.
    fn try_read(&self, buf: &mut ReadBuf<'_>) -> io::Result<ReadOutcome> {
        let stream = &self.connection.stream;
        if self.connection.is_silent() {
            let mut discarded = [0_u8; DISCARD_BYTES];
            let count = stream.try_read(&mut discarded)?;
            return Ok(if count == 0 { ReadOutcome::End } else { ReadOutcome::Discarded });
        }
        let count = stream.try_read(buf.initialize_unfilled())?;
        buf.advance(count);
        Ok(if count == 0 { ReadOutcome::End } else { ReadOutcome::Data })
    }
}

/// What one read came to.
#[derive(Clone, Copy, Debug)]
enum ReadOutcome {
    Data,
    Discarded,
    End,
}

impl AsyncRead for ControlledStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.connection.stream.poll_read_ready(cx))?;
            match self.try_read(buf) {
                Ok(ReadOutcome::Data) => return Poll::Ready(Ok(())),
                Ok(ReadOutcome::Discarded) => continue,
                Ok(ReadOutcome::End) => {
                    self.connection.set_ended();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => {
                    self.connection.set_ended();
                    return Poll::Ready(Err(error));
                }
            }
        }
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.finish_writing();
        Poll::Ready(Ok(()))
    }
}
