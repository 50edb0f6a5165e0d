//! An accepted connection.

use std::io;
use std::net::Shutdown;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

use crate::activity::{Activity, Phase};
use crate::bounds::ConnectionBounds;
use crate::read_ahead::{READ_AHEAD_CHUNK_BYTES, ReadAhead, ReadAheadOutcome};
use crate::refusals::{HEAD_LATE, HEAD_TOO_LONG, HEAD_TOO_LONG_AT_PRESENT, HTTP2_REFUSED};

/// Time after which a connection that could not receive ahead tries again: the memory may have been
/// freed by another one.
const READ_AHEAD_RETRY: Duration = Duration::from_millis(500);
/// Maximum number of bytes that the server receives at once; it allocates a multiple of what it
/// received before.
const MAX_READ_BYTES: usize = 16 << 10;
/// Time for which bytes of the caller are discarded after this side has closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are discarded after this side has closed.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// An accepted connection, shared by the server and the handlers of its requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    ended: watch::Sender<bool>,
    /// Notified when the body that a handler receives is given up for another connection.
    body_given_up: Notify,
    read_ahead: Mutex<ReadAhead>,
    /// Notified when the server takes bytes out of a full `read_ahead`.
    drained: Notify,
    activity: Mutex<Activity>,
    bounds: Arc<ConnectionBounds>,
}

/// Marks that a handler processes a request of a connection, until dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<Connection>);

impl RequestGuard {
    /// Records that the handler receives the body of the request, until [`Self::end_body`]. Meanwhile
    /// [`Connection::body_given_up`] may ask it to refuse the request.
    pub fn begin_body(&self) {
        self.0.lock_activity().begin(Phase::Body);
    }

    /// Records that the handler has received the body of the request.
    pub fn end_body(&self) {
        self.0.lock_activity().begin(Phase::Handling);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.lock_activity().begin(Phase::Idle);
    }
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, bounds: Arc<ConnectionBounds>) -> Self {
        Self {
            stream,
            ended: watch::Sender::new(false),
            body_given_up: Notify::new(),
            read_ahead: Mutex::new(ReadAhead::new(Arc::clone(&bounds))),
            drained: Notify::new(),
            activity: Mutex::new(Activity::new()),
            bounds,
        }
    }

    /// Records that a handler processes a request, until the guard is dropped.
    ///
    /// Between two requests, what the caller sends counts toward the limit of a request head.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.lock_activity().begin(Phase::Handling);
        RequestGuard(Arc::clone(self))
    }

    /// Waits until no request has been received completely for `timeout`, with none in flight.
    pub(crate) async fn idle_for(&self, timeout: Duration) {
        loop {
            let idle_since = self.lock_activity().idle_since();
            let idle_time = idle_since.map_or(Duration::ZERO, |since| since.elapsed());
            if idle_time >= timeout {
                return;
            }
            tokio::time::sleep(timeout - idle_time).await;
        }
    }

    /// Returns since when the connection has not been used, and whether this side has closed it
    /// already and only waits for the caller; `None` if it is in use or has ended.
    pub(crate) fn unused_since(&self) -> Option<(bool, Instant)> {
        let activity = self.lock_activity();
        let is_lingering = activity.phase == Phase::Lingering;
        let since = activity.unused_since().filter(|_| is_lingering || !self.has_ended())?;
        Some((is_lingering, since))
    }

    /// Closes the connection if its caller has received no bytes of a response for `timeout`; returns
    /// whether it did.
    pub(crate) fn close_unread(&self, timeout: Duration) -> bool {
        let is_unread = self.lock_activity().is_unread_for(timeout) && !self.has_ended();
        if is_unread {
            self.close();
        }
        is_unread
    }

    /// Closes the connection if a request head has not arrived completely within `timeout`.
    pub(crate) fn refuse_late_head(&self, timeout: Duration) {
        let mut activity = self.lock_activity();
        let is_late = activity.phase == Phase::Head && activity.since.elapsed() > timeout;
        if !is_late || activity.is_refused {
            return;
        }
        self.refuse(&mut activity, HEAD_LATE);
        drop(activity);
        self.lock_read_ahead().wake();
    }

    /// Sends a response in place of the server, as far as the kernel takes it, and ends what the
    /// server reads, so that it closes the connection.
    fn refuse(&self, activity: &mut Activity, response: &[u8]) {
        activity.is_refused = true;
        self.bounds.count_refused_head();
        if !activity.is_write_blocked() {
            // The connection is closed whether or not the caller receives this.
            let _ = self.stream.try_write(response);
        }
    }

    /// Closes the connection for another one. A handler that receives a body is notified instead, so
    /// that it refuses the request.
    pub(crate) fn evict(&self) {
        let mut activity = self.lock_activity();
        if activity.phase == Phase::Body {
            activity.is_body_given_up = true;
            self.body_given_up.notify_one();
        } else {
            drop(activity);
            self.close();
        }
    }

    /// Waits until the body that a handler receives is given up, because its caller stalls and
    /// another connection needs the place.
    pub async fn body_given_up(&self) {
        // A notice that came after the end of an earlier body is void.
        while !self.lock_activity().is_body_given_up {
            self.body_given_up.notified().await;
        }
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
        self.mark_ended();
    }

    /// Waits until the caller has closed its sending half of the connection, or the connection has
    /// been closed or has failed.
    ///
    /// The close is noticed behind up to 64 KiB of further requests, or less while other
    /// connections use the memory for them.
    pub async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => {}
            () = self.watch_for_end() => {}
        }
    }

    /// Returns whether the caller has closed its sending half of the connection, or the connection
    /// has been closed or has failed, as far as this has been noticed.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Receives ahead until the end of the connection.
    async fn watch_for_end(&self) {
        loop {
            if self.stream.readable().await.is_err() {
                break;
            }
            match self.receive_ahead() {
                ReadAheadOutcome::Received | ReadAheadOutcome::WouldBlock => {}
                ReadAheadOutcome::Full => {
                    let drained = self.drained.notified();
                    // After the timeout there may be memory for more.
                    let _ = tokio::time::timeout(READ_AHEAD_RETRY, drained).await;
                }
                ReadAheadOutcome::Ended => break,
            }
        }
        self.mark_ended();
    }

    /// Receives bytes that have arrived, without waiting.
    fn receive_ahead(&self) -> ReadAheadOutcome {
        let mut read_ahead = self.lock_read_ahead();
        let room = read_ahead.make_room();
        if room == 0 {
            return ReadAheadOutcome::Full;
        }
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        let outcome = match self.stream.try_read(&mut chunk[..room]) {
            Ok(0) => ReadAheadOutcome::Ended,
            Ok(count) => {
                read_ahead.push(&chunk[..count]);
                ReadAheadOutcome::Received
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadAheadOutcome::WouldBlock,
            Err(_) => ReadAheadOutcome::Ended,
        };
        read_ahead.free_if_empty();
        outcome
    }

    /// Receives bytes for the server; none mean the end of the connection.
    pub(crate) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.has_ended() {
                return Poll::Ready(Ok(()));
            }
            let max_bytes = ready!(self.poll_max_read(cx));
            if max_bytes == 0 {
                return Poll::Ready(Ok(()));
            }
            let filled = buf.filled().len();
            if self.take_read_ahead(cx, buf, max_bytes) {
                self.note_received(&buf.filled()[filled..]);
                return Poll::Ready(Ok(()));
            }
            ready!(self.stream.poll_read_ready(cx))?;
            let max_bytes = max_bytes.min(buf.remaining());
            match self.stream.try_read(buf.initialize_unfilled_to(max_bytes)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Ok(count) if count > 0 => {
                    buf.advance(count);
                    self.note_received(&buf.filled()[filled..]);
                    return Poll::Ready(Ok(()));
                }
                read => {
                    self.mark_ended();
                    return Poll::Ready(read.map(drop));
                }
            }
        }
    }

    /// Returns how many bytes the server may receive now; 0 if it is to close the connection.
    ///
    /// Between requests, reads pause while the kernel takes no more bytes of earlier responses, so
    /// that they do not accumulate for a caller that does not read them.
    fn poll_max_read(&self, cx: &Context<'_>) -> Poll<usize> {
        let mut activity = self.lock_activity();
        if activity.is_refused {
            return Poll::Ready(0);
        }
        if matches!(activity.phase, Phase::Body | Phase::Handling) {
            return Poll::Ready(MAX_READ_BYTES);
        }
        if activity.is_write_blocked() {
            activity.paused_reader = Some(cx.waker().clone());
            // The end of the request head's time wakes this one.
            self.lock_read_ahead().wake_on_bytes(cx);
            return Poll::Pending;
        }
        let left = self.bounds.max_head_bytes().saturating_sub(activity.head_bytes);
        if left == 0 && !activity.is_head_full {
            // The server also reads behind a complete head, before the handler runs for the first
            // time; in that case the handler runs before the next read.
            activity.is_head_full = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if left == 0 {
            let is_final = self.bounds.is_head_limit_current();
            let response = if is_final { HEAD_TOO_LONG } else { HEAD_TOO_LONG_AT_PRESENT };
            self.refuse(&mut activity, response);
        }
        Poll::Ready(left.min(MAX_READ_BYTES))
    }

    /// Records bytes that the server received.
    fn note_received(&self, bytes: &[u8]) {
        let mut activity = self.lock_activity();
        let is_http2 = activity.note_received(bytes);
        if is_http2 && self.bounds.max_head_bytes() < usize::MAX && !activity.is_refused {
            self.refuse(&mut activity, HTTP2_REFUSED);
        }
    }

    /// Takes at most `max_bytes` that were received ahead; returns whether there were any. If not, the task of
    /// `cx` is woken when some are.
    fn take_read_ahead(&self, cx: &Context<'_>, buf: &mut ReadBuf<'_>, max_bytes: usize) -> bool {
        let mut read_ahead = self.lock_read_ahead();
        if read_ahead.take(buf, max_bytes) == 0 {
            read_ahead.wake_on_bytes(cx);
            return false;
        }
        self.drained.notify_one();
        true
    }

    /// Sends bytes of the server.
    pub(crate) fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.poll_write_some(cx, buf);
        let mut activity = self.lock_activity();
        activity.note_write(written.is_pending());
        if let Poll::Ready(Ok(count)) = written {
            activity.sent.add(count);
            if activity.note_sent(&buf[..count]) {
                self.bounds.count_unhandled();
            }
        }
        written
    }

    fn poll_write_some(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                written => return Poll::Ready(written),
            }
        }
    }

    /// Returns the number of bytes that the kernel has taken for the caller.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.lock_activity().sent.count()
    }

    /// Waits until `is_ready` is true for the number of bytes that the kernel has taken.
    pub(crate) fn poll_sent(&self, cx: &Context<'_>, is_ready: impl Fn(u64) -> bool) -> Poll<()> {
        self.lock_activity().sent.poll(cx, is_ready)
    }

    /// Records that nothing more can be read, which completes [`Self::ended`].
    pub(crate) fn mark_ended(&self) {
        self.ended.send_replace(true);
    }

    /// Closes the sending half of this side.
    pub(crate) fn shutdown_write(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Discards what the caller still sends, until it closes its side or a limit is reached.
    ///
    /// A connection that is closed with unread bytes is reset, and the caller may lose the last
    /// response.
    pub(crate) async fn linger(&self) {
        self.lock_activity().begin(Phase::Lingering);
        self.shutdown_write();
        let discard = async {
            let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
            let mut discarded = 0;
            while discarded < MAX_LINGER_BYTES && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut chunk) {
                    Ok(count) if count > 0 => discarded += count,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => return,
                }
            }
        };
        // After the timeout the connection is closed all the same.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
    }

    fn lock_activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_read_ahead(&self) -> MutexGuard<'_, ReadAhead> {
        self.read_ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
