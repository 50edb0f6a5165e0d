//! Bounds on what callers can occupy before a handler runs.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Bounds of a listener, which can be changed while it accepts connections.
#[derive(Debug)]
pub struct ConnectionBounds {
    max_open: AtomicUsize,
    max_head_bytes: AtomicUsize,
    is_head_limit_outdated: AtomicBool,
    max_read_ahead: AtomicUsize,
    read_ahead: AtomicUsize,
    evicted: AtomicU64,
    refused: AtomicU64,
    refused_heads: AtomicU64,
    unhandled: AtomicU64,
    unread: AtomicU64,
}

impl Default for ConnectionBounds {
    fn default() -> Self {
        Self {
            max_open: AtomicUsize::new(usize::MAX),
            max_head_bytes: AtomicUsize::new(usize::MAX),
            is_head_limit_outdated: AtomicBool::new(false),
            max_read_ahead: AtomicUsize::new(usize::MAX),
            read_ahead: AtomicUsize::new(0),
            evicted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            refused_heads: AtomicU64::new(0),
            unhandled: AtomicU64::new(0),
            unread: AtomicU64::new(0),
        }
    }
}

impl ConnectionBounds {
    /// Sets the maximum number of open connections; at first there is none.
    pub fn set_max_open(&self, count: usize) {
        self.max_open.store(count, Ordering::Relaxed);
    }

    /// Sets the maximum size of a request head, empty lines before it included, in bytes; at first
    /// there is none. With a maximum, HTTP/2 is not accepted, as its frames have no such head.
    pub fn set_max_head_bytes(&self, bytes: usize) {
        self.max_head_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Sets whether the maximum size of a request head is known to be the one in force. If not, longer
    /// heads are answered with 503, which asks the caller to retry, instead of 431.
    pub fn set_head_limit_current(&self, is_current: bool) {
        self.is_head_limit_outdated.store(!is_current, Ordering::Relaxed);
    }

    /// Sets the maximum sum of the bytes that connections receive while their handlers run; at first
    /// there is none.
    pub fn set_max_read_ahead(&self, bytes: usize) {
        self.max_read_ahead.store(bytes, Ordering::Relaxed);
    }

    /// Returns the number of connections closed to make a place available for another one.
    #[must_use]
    pub fn evicted_count(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Returns the number of connections closed right after they were accepted, as no place could
    /// be made available.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of request heads that were too long or late.
    #[must_use]
    pub fn refused_head_count(&self) -> u64 {
        self.refused_heads.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that the HTTP server refused before a handler processed them.
    #[must_use]
    pub fn unhandled_count(&self) -> u64 {
        self.unhandled.load(Ordering::Relaxed)
    }

    /// Returns the number of connections closed because their callers did not read a response.
    #[must_use]
    pub fn unread_count(&self) -> u64 {
        self.unread.load(Ordering::Relaxed)
    }

    pub(crate) fn max_open(&self) -> usize {
        self.max_open.load(Ordering::Relaxed)
    }

    pub(crate) fn max_head_bytes(&self) -> usize {
        self.max_head_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn is_head_limit_current(&self) -> bool {
        !self.is_head_limit_outdated.load(Ordering::Relaxed)
    }

    /// Charges the buffer of a connection that receives ahead; returns whether there was memory for
    /// it.
    pub(crate) fn try_charge_read_ahead(&self, bytes: usize) -> bool {
        let max = self.max_read_ahead.load(Ordering::Relaxed);
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= max);
        self.read_ahead.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Releases bytes that were charged.
    pub(crate) fn release_read_ahead(&self, bytes: usize) {
        self.read_ahead.fetch_sub(bytes, Ordering::Relaxed);
    }

    pub(crate) fn count_evicted(&self) {
        self.evicted.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused_head(&self) {
        self.refused_heads.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unhandled(&self) {
        self.unhandled.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unread(&self) {
        self.unread.fetch_add(1, Ordering::Relaxed);
    }
}
