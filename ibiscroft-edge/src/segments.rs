//! Bodies kept in segments of bounded size, whose bytes are accounted for.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream};
use hyper::body::{Body, Frame, SizeHint};
use ibiscroft_core::fleet::ByteShare;
use ibiscroft_listener::{Connection, RequestGuard, SendWindow};

use crate::byte_budget::Holder;

/// Largest segment, in bytes: small beside the memory of an instance, large beside the cost of an
/// allocation.
pub(crate) const SEGMENT_BYTES: usize = 32 << 10;
/// First segment of a body of unknown length, in bytes; holds the common body.
pub(crate) const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// Collects a body in segments; short pieces are copied together.
#[derive(Debug, Default)]
pub(crate) struct SegmentBuffer {
    full: Vec<Bytes>,
    open: BytesMut,
    /// Bytes that the open segment still takes.
    room: usize,
    length: usize,
}

impl SegmentBuffer {
    /// Returns the number of collected bytes.
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns the size of the segment that is to be added before further bytes are copied; 0 while
    /// the open one has room.
    ///
    /// `rest` is the number of bytes that are still to come, if known.
    pub(crate) fn missing_segment(&self, rest: Option<usize>) -> usize {
        let unknown = if self.length == 0 { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES };
        match rest {
            _ if self.room > 0 => 0,
            Some(rest) => rest.min(SEGMENT_BYTES),
            None => unknown,
        }
    }

    /// Adds a segment, whose bytes have been reserved.
    pub(crate) fn add_segment(&mut self, size: usize) {
        self.seal();
        self.open = BytesMut::with_capacity(size);
        self.room = size;
    }

    /// Copies the start of `bytes` to the open segment, as far as it has room, and removes it.
    pub(crate) fn copy_from(&mut self, bytes: &mut Bytes) {
        let piece = bytes.split_to(bytes.len().min(self.room));
        self.open.extend_from_slice(&piece);
        self.room -= piece.len();
        self.length += piece.len();
    }

    /// Returns the collected segments.
    pub(crate) fn into_segments(mut self) -> Vec<Bytes> {
        self.seal();
        self.full
    }

    fn seal(&mut self) {
        if !self.open.is_empty() {
            self.full.push(std::mem::take(&mut self.open).freeze());
        }
    }
}

/// Complete body of a request; clones share its segments.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    segments: Arc<[Bytes]>,
    length: u64,
    /// Keeps the bytes reserved.
    _holder: Option<Arc<Holder>>,
}

impl RequestBody {
    /// Creates a body from collected segments and the holder of their bytes.
    pub(crate) fn new(buf: SegmentBuffer, holder: Arc<Holder>) -> Self {
        let length = buf.len() as u64;
        Self { segments: buf.into_segments().into(), length, _holder: Some(holder) }
    }

    /// Returns the bytes in order.
    pub(crate) fn segments(&self) -> &[Bytes] {
        &self.segments
    }
}

/// Body on its way to a target.
#[derive(Debug)]
pub(crate) struct OutgoingBody {
    body: RequestBody,
    next: usize,
    left: u64,
}

impl From<RequestBody> for OutgoingBody {
    fn from(body: RequestBody) -> Self {
        let left = body.length;
        Self { body, next: 0, left }
    }
}

impl From<Bytes> for OutgoingBody {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        let segments: Vec<Bytes> = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        RequestBody { segments: segments.into(), length, _holder: None }.into()
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.body.segments.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= segment.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Bytes of a response that are released once the kernel has taken them or they are dropped.
struct SentBytes {
    bytes: Bytes,
    holder: Arc<Holder>,
}

impl AsRef<[u8]> for SentBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for SentBytes {
    fn drop(&mut self) {
        self.holder.release(ByteShare::Small, self.bytes.len());
    }
}

/// Complete body of a response, whose bytes are released as they are sent.
#[derive(Debug)]
pub(crate) struct WholeResponse {
    segments: VecDeque<Bytes>,
    left: u64,
    holder: Arc<Holder>,
    /// Set once the response is being sent.
    sending: Option<(SendWindow, RequestGuard)>,
}

impl WholeResponse {
    /// Creates a body from collected segments and the holder of their bytes.
    pub(crate) fn new(buf: SegmentBuffer, holder: Arc<Holder>) -> Self {
        let left = buf.len() as u64;
        let segments = releasing_segments(buf, &holder).into();
        Self { segments, left, holder, sending: None }
    }

    /// Begins to send the response; its connection is closed if the caller does not read it while
    /// others wait for memory.
    pub(crate) fn begin_sending(&mut self, connection: &Arc<Connection>, request: RequestGuard) {
        self.holder.begin_sending(connection);
        self.sending = Some((SendWindow::new(Arc::clone(connection)), request));
    }
}

impl Body for WholeResponse {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some((window, _)) = &self.sending {
            ready!(window.poll_ready(cx));
        }
        let Some(mut segment) = self.segments.pop_front() else {
            return Poll::Ready(None);
        };
        let piece = segment.split_to(segment.len().min(SendWindow::max_piece()));
        if !segment.is_empty() {
            self.segments.push_front(segment);
        }
        if let Some((window, _)) = &mut self.sending {
            window.hand_over(piece.len());
        }
        self.left -= piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Returns segments of a response that release their reserved bytes one by one as they are sent.
pub(crate) fn releasing_segments(buf: SegmentBuffer, holder: &Arc<Holder>) -> Vec<Bytes> {
    let segments = buf.into_segments().into_iter();
    segments
        .map(|bytes| Bytes::from_owner(SentBytes { bytes, holder: Arc::clone(holder) }))
        .collect()
}

/// Passes on a streamed response no faster than the caller reads it; the rest stays with the
/// target.
pub(crate) fn limit_unsent<S>(
    body: S,
    connection: &Arc<Connection>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + use<S>
where
    S: Stream<Item = io::Result<Bytes>> + Send + Unpin,
{
    let mut window = SendWindow::new(Arc::clone(connection));
    let mut body = body;
    let mut rest = Bytes::new();
    stream::poll_fn(move |cx| {
        ready!(window.poll_ready(cx));
        if rest.is_empty() {
            match ready!(body.poll_next_unpin(cx)) {
                Some(Ok(chunk)) => rest = chunk,
                end => return Poll::Ready(end),
            }
        }
        let piece = rest.split_to(rest.len().min(SendWindow::max_piece()));
        window.hand_over(piece.len());
        Poll::Ready(Some(Ok(piece)))
    })
}
