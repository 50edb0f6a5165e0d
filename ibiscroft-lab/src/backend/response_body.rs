//! Response bodies, with injected faults.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use ibiscroft_listener::Connection;

use super::control::ResponseFaults;
use super::pattern::Pattern;
use super::range::ByteRange;
use super::shared::Shared;
use super::work::{RequestGuard, Slot};

const BLOCK_BYTES: u64 = 64 * 1024;

/// State of a response body that is being sent.
#[derive(Debug)]
pub(super) struct BodyState {
    pub(super) shared: Arc<Shared>,
    pub(super) _request: RequestGuard,
    pub(super) connection: Arc<Connection>,
    pub(super) slot: Slot,
    pub(super) pattern: Pattern,
    pub(super) range: ByteRange,
    pub(super) faults: ResponseFaults,
    pub(super) block_delay: Duration,
}

/// Streams the blocks of a body; the slot stays in use until the last block is sent.
pub(super) fn body_stream(
    state: BodyState,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let start = state.range.start;
    stream::try_unfold((state, start), |(mut state, at)| async move {
        let sent = at - state.range.start;
        if at >= state.range.end {
            return Ok(None);
        }
        let limit = fault_limit(&state.faults);
        if limit.is_some_and(|limit| sent >= limit) {
            return Err(inject_fault(&state).await);
        }
        if !state.block_delay.is_zero() {
            tokio::time::sleep(state.block_delay).await;
        }
        let mut end = state.range.end.min(at + BLOCK_BYTES);
        if let Some(limit) = limit {
            end = end.min(state.range.start + limit);
        }
        let block = state.pattern.slice(at, end);
        if end == state.range.end {
            state.slot.finish();
        }
        Ok(Some((block, (state, end))))
    })
}

/// Returns the number of body bytes after which an injected fault takes effect.
fn fault_limit(faults: &ResponseFaults) -> Option<u64> {
    [faults.truncate_after, faults.stall_after, faults.crash_after].into_iter().flatten().min()
}

/// Injects the fault: stalls until the connection has ended, crashes the server, or returns the
/// error that ends the connection.
async fn inject_fault(state: &BodyState) -> io::Error {
    if state.faults.stall_after.is_some() {
        state.connection.ended().await;
    }
    if state.faults.crash_after.is_some() {
        state.shared.crash();
    }
    io::Error::other("response body truncated by an injected fault")
}
