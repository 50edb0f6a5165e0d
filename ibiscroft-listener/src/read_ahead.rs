//! Bytes of a connection that are received while a handler runs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Waker};

use tokio::io::ReadBuf;

use crate::bounds::ConnectionBounds;

/// Maximum number of bytes that are received while a handler runs, to notice the close behind them.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Number of bytes received at once while a handler runs, and smallest size of the buffer.
pub(crate) const READ_AHEAD_CHUNK_BYTES: usize = 4 << 10;

/// Result of receiving ahead.
pub(crate) enum ReadAheadOutcome {
    Received,
    WouldBlock,
    Full,
    Ended,
}

/// Bytes received while a handler runs, such as further requests of a caller that does not wait for
/// responses. All connections share the memory for them.
#[derive(Debug)]
pub(crate) struct ReadAhead {
    buf: VecDeque<u8>,
    /// Size of the buffer, in bytes, as charged to the bounds.
    charged: usize,
    /// Task of the server that waits for bytes.
    waker: Option<Waker>,
    bounds: Arc<ConnectionBounds>,
}

impl ReadAhead {
    pub(crate) fn new(bounds: Arc<ConnectionBounds>) -> Self {
        Self { buf: VecDeque::new(), charged: 0, waker: None, bounds }
    }

    /// Returns how many bytes may be received now; 0 if the buffer has its maximum size or the
    /// other connections use the memory.
    pub(crate) fn make_room(&mut self) -> usize {
        if self.buf.len() == self.charged {
            let size = (2 * self.charged).max(READ_AHEAD_CHUNK_BYTES);
            let more = size - self.charged;
            if size > MAX_READ_AHEAD_BYTES || !self.bounds.try_charge_read_ahead(more) {
                return 0;
            }
            self.charged = size;
            self.buf.reserve_exact(size - self.buf.len());
        }
        (self.charged - self.buf.len()).min(READ_AHEAD_CHUNK_BYTES)
    }

    /// Adds received bytes, at most as many as there is room for.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend(bytes);
        self.wake();
    }

    /// Moves at most `max_bytes` to `buf` and returns their number.
    pub(crate) fn take(&mut self, buf: &mut ReadBuf<'_>, max_bytes: usize) -> usize {
        let count = self.buf.len().min(buf.remaining()).min(max_bytes);
        let (front, back) = self.buf.as_slices();
        let from_front = count.min(front.len());
        buf.put_slice(&front[..from_front]);
        buf.put_slice(&back[..count - from_front]);
        self.buf.drain(..count);
        self.free_if_empty();
        count
    }

    /// Frees the buffer if there are no bytes in it.
    pub(crate) fn free_if_empty(&mut self) {
        if self.buf.is_empty() {
            self.buf = VecDeque::new();
            self.bounds.release_read_ahead(self.charged);
            self.charged = 0;
        }
    }

    /// Wakes the task of `cx` when there are bytes or [`Self::wake`] is called.
    pub(crate) fn wake_on_bytes(&mut self, cx: &Context<'_>) {
        self.waker = Some(cx.waker().clone());
    }

    /// Wakes the task that waits for bytes.
    pub(crate) fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.bounds.release_read_ahead(self.charged);
    }
}
