//! Open connections of a server, found by the caller's address.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// One accepted connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    silent: AtomicBool,
    ended: watch::Sender<bool>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, silent: AtomicBool::new(false), ended: watch::Sender::new(false) }
    }

    /// Closes the connection; nothing more is read or written.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Waits until the caller closed the connection or it was closed here.
    pub async fn ended(&self) {
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Notes that nothing more can be read.
    pub(super) fn set_ended(&self) {
        self.ended.send_replace(true);
    }

    /// Ends the writing half.
    pub(super) fn finish_writing(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Discards everything read and written from now on, and keeps the connection open.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// The open connections of one server.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
    accepted: AtomicU64,
    peak: AtomicUsize,
}

impl Connections {
    /// Returns the connection from `peer` while it is open.
    #[must_use]
    pub fn find(&self, peer: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().get(&peer).cloned()
    }

    /// Closes the connection from `peer`, if it is open.
    pub fn close(&self, peer: SocketAddr) {
        if let Some(connection) = self.find(peer) {
            connection.close();
        }
    }

    /// Closes every open connection.
    pub fn close_all(&self) {
        for connection in self.lock().values() {
            connection.close();
        }
    }

    /// Silences every open connection; new ones work.
    pub fn silence_all(&self) {
        for connection in self.lock().values() {
            connection.silence();
        }
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lock().len()
    }

    /// Returns the largest number of connections that were open at once.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Returns how many connections were accepted.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    pub(super) fn insert(&self, peer: SocketAddr, connection: Arc<Connection>) {
        let mut open = self.lock();
        open.insert(peer, connection);
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.peak.fetch_max(open.len(), Ordering::Relaxed);
    }

    pub(super) fn remove(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
