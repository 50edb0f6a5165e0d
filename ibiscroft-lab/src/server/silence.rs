//! Connections that can be silenced: they stay open, and all data read and written is discarded.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::uri::Scheme;
use ibiscroft_listener::{ConnectionAcceptor, ConnectionStream};
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of the buffer for discarded data.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Open connections by peer address, each with a flag that silences it.
#[derive(Debug, Default)]
pub struct SilencedConnections {
    open: Mutex<HashMap<SocketAddr, Arc<AtomicBool>>>,
}

impl SilencedConnections {
    /// Silences the connection from `peer`.
    pub fn silence(&self, peer: SocketAddr) {
        if let Some(silent) = self.lock().get(&peer) {
            silent.store(true, Ordering::Release);
        }
    }

    /// Silences every open connection; connections opened later are not affected.
    pub fn silence_all(&self) {
        for silent in self.lock().values() {
            silent.store(true, Ordering::Release);
        }
    }

    fn insert(&self, peer: SocketAddr) -> Arc<AtomicBool> {
        let silent = Arc::new(AtomicBool::new(false));
        self.lock().insert(peer, silent.clone());
        silent
    }

    fn remove(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<AtomicBool>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Acceptor of connections that can be silenced.
#[derive(Debug)]
pub(super) struct SilencingAcceptor {
    inner: ConnectionAcceptor,
    connections: Arc<SilencedConnections>,
}

impl SilencingAcceptor {
    pub(super) fn new(inner: ConnectionAcceptor, connections: Arc<SilencedConnections>) -> Self {
        Self { inner, connections }
    }
}

impl Acceptor for SilencingAcceptor {
    type Io = SilencingStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(SilencingStream, LocalAddr, RemoteAddr, Scheme)> {
        let (inner, local, remote, scheme) = self.inner.accept().await?;
        let peer = remote.as_socket_addr().copied();
        let silent = peer.map(|peer| self.connections.insert(peer)).unwrap_or_default();
        let stream = SilencingStream { inner, silent, peer, connections: self.connections.clone() };
        Ok((stream, local, remote, scheme))
    }
}

/// Stream that discards all data once its flag is set; it still reports when the peer closes the
/// connection.
#[derive(Debug)]
pub(super) struct SilencingStream {
    inner: ConnectionStream,
    silent: Arc<AtomicBool>,
    peer: Option<SocketAddr>,
    connections: Arc<SilencedConnections>,
}

impl SilencingStream {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

impl Drop for SilencingStream {
    fn drop(&mut self) {
        if let Some(peer) = self.peer {
            self.connections.remove(peer);
        }
    }
}

impl AsyncRead for SilencingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.is_silent() {
            let mut discarded = [0_u8; DISCARD_BUFFER_BYTES];
            let mut discarded = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut discarded))?;
            if discarded.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for SilencingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
