//! Reads the body of a caller's request into memory that is accounted for.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::header::{self, HeaderMap};
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::ByteShare;
use poem::Request;

use super::currency::Currency;
use crate::byte_budget::{Holder, HolderEnded};
use crate::reply::{Failure, FailureKind};
use crate::segments::{FIRST_SEGMENT_BYTES, RequestBody, SEGMENT_BYTES, SegmentBuffer};
use crate::shared::Shared;

/// Retry time for callers whose body found no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads the complete request body of at most `limit` bytes, the limit of the configuration
/// described by `currency`.
///
/// # Errors
///
/// Returns the failure for the caller if the body is malformed or too large, if it has not arrived
/// by `deadline`, or if there was no memory for it.
pub(super) async fn read_body(
    req: &mut Request,
    shared: &Shared,
    limit: usize,
    currency: Currency,
    deadline: Tick,
) -> Result<RequestBody, Failure> {
    let content_length = req.headers().get(header::CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length == Some(0) || (content_length.is_none() && !is_chunked(req.headers())) {
        return Ok(RequestBody::default());
    }
    if content_length.is_some_and(|size| size > limit) {
        return Err(too_large(limit, currency));
    }
    let holder = shared.bytes.open();
    let read = async {
        tokio::select! {
            () = holder.ended() => Err(HolderEnded.into()),
            buf = receive(req, &holder, content_length, limit, currency) => buf,
        }
    };
    let buf = match tokio::time::timeout_at(shared.clock.instant(deadline), read).await {
        Ok(buf) => buf?,
        // Bodies with the same deadline free their memory at that moment for the next one, so that
        // it need not be waiting any more.
        Err(_) if holder.has_waited() => {
            let detail = "the body waited for memory and was not complete at the deadline";
            return Err(
                Failure::new(FailureKind::NoMemory, detail).retry_after(NO_MEMORY_RETRY_AFTER)
            );
        }
        Err(_) => {
            let detail = "the body did not arrive before the deadline of its request";
            return Err(Failure::new(FailureKind::BodyLate, detail));
        }
    };
    holder.note_complete();
    Ok(RequestBody::new(buf, holder))
}

/// Receives a body; the caller is not read from while there is no memory for its next segment.
async fn receive(
    req: &mut Request,
    holder: &Holder,
    content_length: Option<usize>,
    limit: usize,
    currency: Currency,
) -> Result<SegmentBuffer, Failure> {
    if let Some(length) = content_length {
        let share = if length <= SEGMENT_BYTES { ByteShare::Small } else { ByteShare::Bulk };
        holder.reserve(share, length).await?;
    }
    let mut stream = req.take_body().into_bytes_stream();
    let mut buf = SegmentBuffer::default();
    // Bytes of the bulk share that are reserved and not yet used by a segment.
    let mut ahead = 0;
    if content_length.is_none() {
        holder.reserve(ByteShare::Small, FIRST_SEGMENT_BYTES).await?;
        buf.add_segment(FIRST_SEGMENT_BYTES);
    }
    while let Some(chunk) = stream.next().await {
        let mut chunk: Bytes = chunk
            .map_err(|error| Failure::new(FailureKind::BadRequest, format!("body: {error}")))?;
        if buf.len() + chunk.len() > limit {
            return Err(too_large(limit, currency));
        }
        holder.note_progress();
        while !chunk.is_empty() {
            let rest = content_length.map(|length| length.saturating_sub(buf.len()));
            let size = buf.missing_segment(rest);
            if size > 0 {
                if content_length.is_none() {
                    if ahead < size {
                        // Twice the size each time: with many bodies of unknown length the bytes
                        // of one that is ended go to the first in line and not to all a little.
                        let more = buf.len().max(size).min(limit - buf.len()).max(size - ahead);
                        holder.reserve(ByteShare::Bulk, more).await?;
                        ahead += more;
                    }
                    ahead -= size;
                }
                buf.add_segment(size);
            }
            buf.copy_from(&mut chunk);
        }
    }
    holder.release(ByteShare::Bulk, ahead);
    Ok(buf)
}

impl From<HolderEnded> for Failure {
    fn from(_: HolderEnded) -> Self {
        let detail = "the body made no progress while others waited for memory";
        Self::new(FailureKind::NoMemory, detail).retry_after(NO_MEMORY_RETRY_AFTER)
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
}

fn too_large(limit: usize, currency: Currency) -> Failure {
    let reason = format!("at most {limit} bytes are accepted");
    currency.refusal(FailureKind::BodyTooLarge, &reason).closing_connection()
}
