//! What the caller of a connection does between the requests that handlers process.

use std::task::Waker;
use std::time::{Duration, Instant};

use crate::send_window::SentBytes;

/// First bytes of a connection with HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Start of a response.
const RESPONSE_START: &[u8] = b"HTTP/1.";
/// Position of the status code in a response; interim responses have a 1 there.
const STATUS_OFFSET: usize = 9;

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No byte of a further request has arrived.
    Idle,
    /// A request head is being received.
    Head,
    /// A handler receives the body of a request.
    Body,
    /// A handler processes a request.
    Handling,
    /// This side has closed, and what the caller still sends is discarded.
    Lingering,
}

/// Time without progress after which a connection whose request is being received or whose response
/// is being sent counts as unused.
const STALL_TIME: Duration = Duration::from_millis(500);

/// State of a connection between requests.
#[derive(Debug)]
pub(crate) struct Activity {
    pub(crate) phase: Phase,
    /// When the phase began; if that is later, when bytes were last sent in the idle phase or
    /// received of a body.
    pub(crate) since: Instant,
    /// Bytes received since a handler last ran.
    pub(crate) head_bytes: usize,
    /// Whether a read was put off once because the head has its maximum size.
    pub(crate) is_head_full: bool,
    /// Number of the connection's first bytes if they are those of the HTTP/2 preface.
    preface_bytes: usize,
    /// Whether the connection is being closed and nothing more is read from it.
    pub(crate) is_refused: bool,
    /// Whether the handler has been asked to refuse the request whose body it receives.
    pub(crate) is_body_given_up: bool,
    /// Since when the kernel takes no more bytes for the caller.
    write_blocked_since: Option<Instant>,
    /// Task of the server whose reads are paused until the kernel takes bytes again.
    pub(crate) paused_reader: Option<Waker>,
    /// Bytes that the kernel has taken for the caller.
    pub(crate) sent: SentBytes,
    /// Whether a handler has begun to process a request whose response has not been sent.
    is_response_due: bool,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            phase: Phase::Idle,
            since: Instant::now(),
            head_bytes: 0,
            is_head_full: false,
            preface_bytes: 0,
            is_refused: false,
            is_body_given_up: false,
            write_blocked_since: None,
            paused_reader: None,
            sent: SentBytes::default(),
            is_response_due: false,
        }
    }

    /// Records received bytes; returns whether they are the start of HTTP/2.
    pub(crate) fn note_received(&mut self, bytes: &[u8]) -> bool {
        let is_start = self.preface_bytes < HTTP2_PREFACE.len();
        if is_start {
            let rest = &HTTP2_PREFACE[self.preface_bytes..];
            let common = rest.iter().zip(bytes).take_while(|(a, b)| a == b).count();
            let differs = common < rest.len().min(bytes.len());
            self.preface_bytes = if differs { usize::MAX } else { self.preface_bytes + common };
        }
        match self.phase {
            _ if bytes.is_empty() => {}
            Phase::Idle => {
                self.phase = Phase::Head;
                self.since = Instant::now();
                self.head_bytes += bytes.len();
            }
            Phase::Head => self.head_bytes += bytes.len(),
            Phase::Body => self.since = Instant::now(),
            Phase::Handling | Phase::Lingering => {}
        }
        self.preface_bytes == HTTP2_PREFACE.len()
    }

    /// Begins a phase; none follows [`Phase::Lingering`].
    pub(crate) fn begin(&mut self, phase: Phase) {
        if self.phase == Phase::Lingering {
            return;
        }
        self.phase = phase;
        self.since = Instant::now();
        self.head_bytes = 0;
        self.is_head_full = false;
        self.is_response_due |= phase == Phase::Handling;
        self.is_body_given_up = false;
    }

    /// Records bytes that the server sends; returns whether they are a response to a request that
    /// no handler has processed.
    pub(crate) fn note_sent(&mut self, bytes: &[u8]) -> bool {
        let is_final = bytes.starts_with(RESPONSE_START) && bytes.get(STATUS_OFFSET) != Some(&b'1');
        if !is_final {
            return false;
        }
        let was_due = std::mem::replace(&mut self.is_response_due, false);
        !was_due && self.phase != Phase::Handling
    }

    /// Returns whether the kernel takes no more bytes for the caller.
    pub(crate) const fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.is_some()
    }

    /// Returns whether the kernel has taken no bytes of a response for at least `timeout`.
    pub(crate) fn is_unread_for(&self, timeout: Duration) -> bool {
        self.phase == Phase::Handling
            && self.write_blocked_since.is_some_and(|since| since.elapsed() >= timeout)
    }

    /// Returns since when no request is in flight; `None` while one is.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        matches!(self.phase, Phase::Idle | Phase::Head).then_some(self.since)
    }

    /// Returns since when the connection has not been used: no handler works on a request, and the
    /// caller has neither completed a request nor received bytes.
    ///
    /// A caller that sends a body or receives a response has [`STALL_TIME`] before that.
    pub(crate) fn unused_since(&self) -> Option<Instant> {
        let stalled_since = match self.phase {
            Phase::Idle | Phase::Head | Phase::Lingering => return Some(self.since),
            Phase::Body if self.is_body_given_up => return None,
            Phase::Body => self.since,
            Phase::Handling => self.write_blocked_since?,
        };
        (stalled_since.elapsed() >= STALL_TIME).then_some(stalled_since)
    }

    /// Records whether the kernel took bytes for the caller.
    pub(crate) fn note_write(&mut self, is_blocked: bool) {
        if is_blocked {
            self.write_blocked_since.get_or_insert_with(Instant::now);
            return;
        }
        self.write_blocked_since = None;
        if self.phase == Phase::Idle {
            self.since = Instant::now();
        }
        if let Some(reader) = self.paused_reader.take() {
            reader.wake();
        }
    }
}
