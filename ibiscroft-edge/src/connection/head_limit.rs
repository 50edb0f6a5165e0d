//! Limit on the bytes that a target sends before the body of a response.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes received from a request to the end of the response's head, interim
/// responses included. Larger than the head that the HTTP client accepts and the start of a body
/// that it reads along with it.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Value that stands for no limit.
const UNLIMITED: usize = usize::MAX;

/// Handle that sets the limit of a [`HeadLimitedStream`].
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    /// Bytes that may still be received.
    left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Starts the limit, before a request is sent.
    pub(super) fn start(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, once the head has been received.
    pub(super) fn lift(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts received bytes.
    fn take(&self, count: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.left.store(left.saturating_sub(count), Ordering::Relaxed);
        }
    }

    fn is_used_up(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }
}

/// Connection whose reads fail once a head is too long.
///
/// The HTTP client limits the size of a single head, but not the number of interim responses.
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    /// Wraps a connection; the limit is lifted until [`HeadLimit::start`].
    pub(super) fn new(stream: TcpStream) -> (Self, HeadLimit) {
        let limit = HeadLimit { left: Arc::new(AtomicUsize::new(UNLIMITED)) };
        (Self { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_used_up() {
            let detail = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.limit.take(buf.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
