//! Reads the body of a caller's request into memory that is accounted for.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::header;
use ibiscroft_core::Tick;
use ibiscroft_wire::ErrorKind;
use poem::Request;

use crate::body_budget::BodyHolder;
use crate::exchange::Failure;
use crate::shared::Shared;
use crate::shortage::{STALL_CHECK_INTERVAL, STALL_TIME};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// First buffer of a body of unknown length, in bytes; holds the common body.
const FIRST_BUFFER_BYTES: usize = 4 << 10;
/// Factor by which the buffer of a body of unknown length grows; with few sizes, the allocator can
/// use the freed buffers again.
const GROWTH_FACTOR: usize = 16;
/// Largest number of bytes of a rejected request's body that are read and discarded, so that the
/// caller receives the response.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Timeout for reading and discarding the body of a rejected request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay for callers whose body found no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads the complete body of a request.
///
/// # Errors
///
/// Returns the failure for the caller if the body is malformed or too large, has not arrived by
/// `deadline` or within [`BODY_TIMEOUT`], stalls while others are refused, or finds no memory.
pub(super) async fn read_body(
    req: &mut Request,
    shared: &Shared,
    deadline: Tick,
) -> Result<Bytes, Failure> {
    let length = req.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let is_chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    if length.unwrap_or(0) == 0 && !is_chunked {
        return Ok(Bytes::new());
    }
    if length.is_some_and(|size| size > MAX_BODY_BYTES) {
        return Err(body_too_large());
    }
    let mut buf = BodyBuffer::new(shared);
    buf.grow(length.unwrap_or(FIRST_BUFFER_BYTES))?;
    let stream = req.take_body().into_bytes_stream();
    let timeout = BODY_TIMEOUT.min(deadline.since(shared.clock.now()));
    match tokio::time::timeout(timeout, collect_body(stream, &mut buf, shared)).await {
        Ok(Ok(())) => Ok(buf.holder.into_bytes(buf.bytes)),
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(slow_caller(format!("the body took over {} ms", timeout.as_millis()))),
    }
}

/// Reads and discards the rest of a rejected request's body.
///
/// A caller that is disconnected while it is still sending does not receive the response.
pub(crate) async fn discard_body(req: &mut Request) {
    if req.headers().contains_key(header::EXPECT) {
        return;
    }
    let body = req.take_body().into_bytes_stream();
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
}

async fn discard(mut body: impl Stream<Item = io::Result<Bytes>> + Unpin) {
    let mut discarded = 0;
    while let Some(Ok(chunk)) = body.next().await {
        discarded += chunk.len();
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// Bytes of a body and the memory reserved for them.
struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    /// Bytes that are reserved; the capacity of `bytes`.
    reserved: usize,
    holder: BodyHolder,
    shared: &'a Shared,
}

impl<'a> BodyBuffer<'a> {
    fn new(shared: &'a Shared) -> Self {
        Self { bytes: Vec::new(), reserved: 0, holder: shared.bodies.open(), shared }
    }

    /// Reserves memory for a body of `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns the failure for the caller if the memory is not available.
    fn grow(&mut self, length: usize) -> Result<(), Failure> {
        if !self.holder.try_reserve(length - self.reserved, length) {
            self.shared.memory_shortage.note(self.shared.clock.now());
            let failure = Failure::new(ErrorKind::Overloaded, "other bodies fill the memory");
            return Err(failure.retry_after(NO_MEMORY_RETRY_AFTER).body_unread());
        }
        self.reserved = length;
        self.bytes.reserve_exact(length - self.bytes.len());
        Ok(())
    }

    fn add(&mut self, chunk: &[u8]) -> Result<(), Failure> {
        let length = self.bytes.len() + chunk.len();
        if length > self.reserved {
            self.grow(length.max(GROWTH_FACTOR * self.reserved).min(MAX_BODY_BYTES))?;
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }
}

async fn collect_body(
    mut stream: impl Stream<Item = io::Result<Bytes>> + Unpin,
    buf: &mut BodyBuffer<'_>,
    shared: &Shared,
) -> Result<(), Failure> {
    while let Some(chunk) = next_chunk(&mut stream, shared).await? {
        let chunk =
            chunk.map_err(|error| Failure::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if buf.bytes.len() + chunk.len() > MAX_BODY_BYTES {
            discard(stream).await;
            return Err(body_too_large());
        }
        buf.add(&chunk)?;
    }
    Ok(())
}

/// Waits for the next chunk of a body.
///
/// # Errors
///
/// Returns the failure for the caller if none arrives for [`STALL_TIME`] while others are refused.
async fn next_chunk(
    stream: &mut (impl Stream<Item = io::Result<Bytes>> + Unpin),
    shared: &Shared,
) -> Result<Option<io::Result<Bytes>>, Failure> {
    let mut silence = Duration::ZERO;
    loop {
        if let Ok(chunk) = tokio::time::timeout(STALL_CHECK_INTERVAL, stream.next()).await {
            return Ok(chunk);
        }
        silence += STALL_CHECK_INTERVAL;
        if silence >= STALL_TIME && shared.is_short_for_bodies() {
            shared.metrics.count_stalled();
            let detail = "nothing of the body arrived while others were refused";
            return Err(slow_caller(detail.to_string()));
        }
    }
}

fn slow_caller(detail: String) -> Failure {
    Failure::new(ErrorKind::SlowCaller, detail).body_unread()
}

fn body_too_large() -> Failure {
    let detail = format!("at most {MAX_BODY_BYTES} bytes are accepted");
    Failure::new(ErrorKind::BodyTooLarge, detail)
}
