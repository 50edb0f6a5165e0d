//! Passes the body of a response on no faster than the caller reads it.

use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use ibiscroft_listener::{Connection, RequestGuard, SendWindow};
use tokio::sync::OwnedSemaphorePermit;

use crate::exchange::BodyStream;
use crate::shared::Shared;
use crate::shortage::{STALL_CHECK_INTERVAL, STALL_TIME};

/// Largest body that is passed on without counting as a large response, in bytes.
const MAX_SMALL_BODY_BYTES: u64 = 16 << 10;
/// Longest wait for other large responses to end.
const PLACE_TIMEOUT: Duration = Duration::from_secs(10);

/// A body on its way to the caller.
struct ResponseFlow {
    body: BodyStream,
    /// Received bytes that are not yet handed to the HTTP server.
    rest: Bytes,
    window: SendWindow,
    is_large: bool,
    /// Place among the large responses.
    place: Option<OwnedSemaphorePermit>,
    shared: Arc<Shared>,
    /// Keeps the connection from being closed as an unused one.
    _request: RequestGuard,
}

/// Passes a body of `length` bytes on, as far as that is known; what the caller has not read stays
/// with the target.
///
/// The body fails if the caller does not read it while other requests are refused or wait.
pub(crate) fn follow_reader(
    body: BodyStream,
    length: Option<u64>,
    connection: Arc<Connection>,
    request: RequestGuard,
    shared: Arc<Shared>,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let flow = ResponseFlow {
        body,
        rest: Bytes::new(),
        window: SendWindow::new(connection),
        is_large: length.is_none_or(|length| length > MAX_SMALL_BODY_BYTES),
        place: None,
        shared,
        _request: request,
    };
    stream::unfold(Some(flow), |flow| async move {
        let mut flow = flow?;
        match flow.next_piece().await {
            Ok(Some(piece)) => Some((Ok(piece), Some(flow))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

impl ResponseFlow {
    /// Returns the next piece of the body once the caller has read enough of the pieces before it.
    async fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        wait_for_reader(&self.window, &self.shared).await?;
        if self.rest.is_empty() {
            if self.is_large && self.place.is_none() {
                self.place = Some(wait_for_place(&self.shared).await?);
            }
            let Some(chunk) = self.body.next().await else {
                return Ok(None);
            };
            self.rest = chunk?;
        }
        let piece = self.rest.split_to(self.rest.len().min(SendWindow::max_piece()));
        self.window.hand_over(piece.len());
        Ok(Some(piece))
    }
}

/// Waits until the next piece may be handed to the HTTP server.
async fn wait_for_reader(window: &SendWindow, shared: &Shared) -> io::Result<()> {
    let mut silence = Duration::ZERO;
    loop {
        let ready = poll_fn(|cx| window.poll_ready(cx));
        if tokio::time::timeout(STALL_CHECK_INTERVAL, ready).await.is_ok() {
            return Ok(());
        }
        silence += STALL_CHECK_INTERVAL;
        if silence >= STALL_TIME && shared.is_short_for_responses() {
            shared.metrics.count_stalled();
            let error = "the caller does not read its response while others are refused";
            return Err(io::Error::new(io::ErrorKind::TimedOut, error));
        }
    }
}

/// Waits for a place among the large responses, for which callers that do not read theirs are
/// ended.
async fn wait_for_place(shared: &Shared) -> io::Result<OwnedSemaphorePermit> {
    let places = &shared.large_responses;
    let mut wait = Duration::ZERO;
    let place = Arc::clone(places).acquire_owned();
    tokio::pin!(place);
    while wait < PLACE_TIMEOUT {
        if let Ok(place) = tokio::time::timeout(STALL_CHECK_INTERVAL, &mut place).await {
            return place.map_err(io::Error::other);
        }
        wait += STALL_CHECK_INTERVAL;
        shared.slot_shortage.note(shared.clock.now());
    }
    let error = "too many large responses are being read";
    Err(io::Error::new(io::ErrorKind::TimedOut, error))
}
