//! Limit on the bytes of a response that the server keeps for a caller.

use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use crate::connection::Connection;

/// Bytes of a response that may be handed to the server before the kernel has taken them.
///
/// The server copies what it is handed into a buffer of its own, which it does not limit to less
/// than 400 kB for each connection.
const WINDOW_BYTES: u64 = 16 << 10;

/// Limits how far the body of a response runs ahead of what the kernel has taken for the caller.
#[derive(Debug)]
pub struct SendWindow {
    connection: Arc<Connection>,
    /// Bytes that the kernel had taken before the response.
    before: u64,
    handed_over: u64,
}

impl SendWindow {
    /// Creates the window of a response on a connection.
    #[must_use]
    pub fn new(connection: Arc<Connection>) -> Self {
        let before = connection.sent_bytes();
        Self { connection, before, handed_over: 0 }
    }

    /// Maximum size of a piece of the body, in bytes.
    #[must_use]
    pub const fn max_piece() -> usize {
        WINDOW_BYTES as usize
    }

    /// Waits until the next piece of the body may be handed to the server.
    pub fn poll_ready(&self, cx: &Context<'_>) -> Poll<()> {
        self.connection.poll_sent(cx, |sent| {
            // The head counts as sent as well, which only makes the window a little larger.
            self.handed_over.saturating_sub(sent - self.before) < WINDOW_BYTES
        })
    }

    /// Records a piece that is handed to the server.
    pub const fn hand_over(&mut self, bytes: usize) {
        self.handed_over += bytes as u64;
    }
}

/// Bytes that the kernel has taken on a connection, and the body that waits for that.
#[derive(Debug, Default)]
pub(crate) struct SentBytes {
    count: u64,
    waker: Option<Waker>,
}

impl SentBytes {
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }

    pub(crate) fn add(&mut self, bytes: usize) {
        self.count += bytes as u64;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub(crate) fn poll(&mut self, cx: &Context<'_>, is_ready: impl Fn(u64) -> bool) -> Poll<()> {
        if is_ready(self.count) {
            return Poll::Ready(());
        }
        self.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}
