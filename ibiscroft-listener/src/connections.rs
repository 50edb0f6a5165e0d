//! Registry of the open connections of a listener, by the address of the caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use poem::Request;

use crate::bounds::ConnectionBounds;
use crate::connection::Connection;

/// Registry of the open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionRegistry {
    open: RwLock<HashMap<SocketAddr, Arc<Connection>>>,
    accepted: AtomicU64,
    peak: AtomicUsize,
    bounds: Arc<ConnectionBounds>,
}

impl ConnectionRegistry {
    /// Returns the connection on which a request arrived, or `None` if it is no longer open.
    #[must_use]
    pub fn for_request(&self, req: &Request) -> Option<Arc<Connection>> {
        if let Some(connection) = req.extensions().get::<Arc<Connection>>() {
            return Some(Arc::clone(connection));
        }
        let peer = req.remote_addr().as_socket_addr()?;
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        open.get(peer).cloned()
    }

    /// Returns the bounds on the connections.
    #[must_use]
    pub fn bounds(&self) -> &Arc<ConnectionBounds> {
        &self.bounds
    }

    /// Closes the connections whose request head has not arrived completely within `timeout`.
    pub fn refuse_late_heads(&self, timeout: Duration) {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        for connection in open.values() {
            connection.refuse_late_head(timeout);
        }
    }

    /// Closes the connection that has been unused for the longest time, or one that this side has
    /// closed already and that waits for its caller; returns whether there is one.
    pub(crate) fn close_longest_unused(&self) -> bool {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        let unused = open.values().filter_map(|open| Some((open.unused_since()?, open)));
        let first = unused.min_by_key(|((is_lingering, since), _)| (!is_lingering, *since));
        let Some(((is_lingering, _), connection)) = first else {
            return false;
        };
        connection.evict();
        if !is_lingering {
            self.bounds.count_evicted();
        }
        true
    }

    /// Closes a connection that this side has closed already and that waits for its caller.
    pub(crate) fn close_lingering(&self) {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        for connection in open.values() {
            if connection.unused_since().is_some_and(|(is_lingering, _)| is_lingering) {
                connection.close();
                return;
            }
        }
    }

    /// Closes the connections whose callers have received no bytes of a response for `timeout`.
    pub fn close_unread(&self, timeout: Duration) {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        for connection in open.values() {
            if connection.close_unread(timeout) {
                self.bounds.count_unread();
            }
        }
    }

    /// Closes all open connections.
    pub fn close_all(&self) {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        for connection in open.values() {
            connection.close();
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.read().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns the largest number of connections that were open at the same time.
    #[must_use]
    pub fn peak_count(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted since the start.
    #[must_use]
    pub fn accepted_count(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    pub(crate) fn insert(&self, peer: SocketAddr, connection: Arc<Connection>) {
        let mut open = self.open.write().unwrap_or_else(PoisonError::into_inner);
        open.insert(peer, connection);
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.peak.fetch_max(open.len(), Ordering::Relaxed);
    }

    /// Removes a connection unless a later one from the same address has taken its place.
    pub(crate) fn remove(&self, peer: SocketAddr, connection: &Arc<Connection>) {
        let mut open = self.open.write().unwrap_or_else(PoisonError::into_inner);
        if open.get(&peer).is_some_and(|registered| Arc::ptr_eq(registered, connection)) {
            open.remove(&peer);
        }
    }
}
