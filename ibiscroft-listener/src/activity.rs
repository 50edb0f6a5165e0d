//! What the caller of a connection does between the requests that handlers process.

use std::task::Waker;
use std::time::Instant;

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
    /// A handler processes a request.
    Handling,
}

/// State of a connection between requests.
#[derive(Debug)]
pub(crate) struct Activity {
    pub(crate) phase: Phase,
    /// When the phase began; in the idle phase, when bytes were last sent if that is later.
    pub(crate) since: Instant,
    /// Bytes received since a handler last ran.
    pub(crate) head_bytes: usize,
    /// Whether a read was put off once because the head has its maximum size.
    pub(crate) is_head_full: bool,
    /// Number of the connection's first bytes if they are those of the HTTP/2 preface.
    preface_bytes: usize,
    /// Whether the connection is being closed and nothing more is read from it.
    pub(crate) is_refused: bool,
    /// Whether the kernel takes no more bytes for the caller.
    pub(crate) is_write_blocked: bool,
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
            is_write_blocked: false,
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
        if self.phase != Phase::Handling && !bytes.is_empty() {
            self.head_bytes += bytes.len();
            if self.phase == Phase::Idle {
                self.phase = Phase::Head;
                self.since = Instant::now();
            }
        }
        self.preface_bytes == HTTP2_PREFACE.len()
    }

    /// Begins a phase.
    pub(crate) fn begin(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
        self.head_bytes = 0;
        self.is_head_full = false;
        self.is_response_due |= phase == Phase::Handling;
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

    /// Records whether the kernel took bytes for the caller.
    pub(crate) fn note_write(&mut self, is_blocked: bool) {
        self.is_write_blocked = is_blocked;
        if is_blocked {
            return;
        }
        if self.phase == Phase::Idle {
            self.since = Instant::now();
        }
        if let Some(reader) = self.paused_reader.take() {
            reader.wake();
        }
    }
}
