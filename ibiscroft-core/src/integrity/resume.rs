//! Decides whether a response whose body broke off is resumed at another target.

use std::str::FromStr;

use crate::{copy_data, data};

/// Largest number of resumptions of one response.
const MAX_RESUMPTIONS: u32 = 3;

const STATUS_OK: u16 = 200;
const STATUS_PARTIAL: u16 = 206;

data! {
    /// The parts of a response's head that decide whether it can be resumed.
    pub struct ResponseHead {
        /// HTTP status.
        pub status: u16,
        /// Value of `ETag`.
        pub etag: Option<String>,
        /// Value of `Content-Length`.
        pub length: Option<u64>,
        /// Whether `Content-Encoding` or another coding makes byte ranges ambiguous.
        pub is_encoded: bool,
        /// Value of `Content-Range`.
        pub content_range: Option<ContentRange>,
    }

    /// What to do after the body of a response broke off.
    pub enum ResumeAction {
        /// Request the rest from another target.
        RequestRange {
            /// Offset of the first missing byte, for `Range: bytes=N-`.
            from: u64,
            /// Strong validator, for `If-Range`.
            etag: String,
        },
        /// Abort the connection to the caller, so that it detects the incomplete response.
        Abort,
    }
}

copy_data! {
    /// Value of a `Content-Range` header with a known total length.
    pub struct ContentRange {
        /// Offset of the first byte.
        pub first: u64,
        /// Offset of the last byte, inclusive.
        pub last: u64,
        /// Length in bytes of the complete body.
        pub total: u64,
    }
}

impl FromStr for ContentRange {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let range = text.trim().strip_prefix("bytes ").unwrap_or_default();
        let (span, total) = range.split_once('/').unwrap_or_default();
        let (first, last) = span.split_once('-').unwrap_or_default();
        Ok(Self { first: first.parse()?, last: last.parse()?, total: total.parse()? })
    }
}

/// A response that is resumed at other targets when its body breaks off.
///
/// ```
/// use ibiscroft_core::integrity::{ResponseHead, ResumableResponse, ResumeAction};
///
/// let head = ResponseHead {
///     status: 200,
///     etag: Some("\"v1\"".to_string()),
///     length: Some(100),
///     is_encoded: false,
///     content_range: None,
/// };
/// let mut response = ResumableResponse::new(true, head);
/// let etag = "\"v1\"".to_string();
/// assert_eq!(response.on_broken_body(40), ResumeAction::RequestRange { from: 40, etag });
/// ```
#[derive(Clone, Debug)]
pub struct ResumableResponse {
    is_plain_get: bool,
    head: ResponseHead,
    resumption_count: u32,
}

impl ResumableResponse {
    /// Creates the state of a response with the given head.
    ///
    /// `is_plain_get` is true for a GET request without a `Range` header.
    #[must_use]
    pub fn new(is_plain_get: bool, head: ResponseHead) -> Self {
        Self { is_plain_get, head, resumption_count: 0 }
    }

    /// Decides what to do after the body broke off with `received` bytes forwarded to the caller.
    pub fn on_broken_body(&mut self, received: u64) -> ResumeAction {
        let Some(etag) = self.validator() else {
            return ResumeAction::Abort;
        };
        if self.resumption_count >= MAX_RESUMPTIONS
            || self.head.length.is_none_or(|len| received >= len)
        {
            return ResumeAction::Abort;
        }
        self.resumption_count += 1;
        ResumeAction::RequestRange { from: received, etag }
    }

    /// Returns whether the response to a range request continues the body at byte `from`.
    ///
    /// If it does not, discard it without reading its body, and abort the caller's connection.
    #[must_use]
    pub fn is_continued_by(&self, from: u64, next: &ResponseHead) -> bool {
        self.head.length.is_some_and(|total| is_continuation(from, total, next))
            && self.validator().is_some()
            && next.etag == self.head.etag
    }

    /// Returns the strong validator of the response, or `None` if it can't be resumed.
    fn validator(&self) -> Option<String> {
        let is_resumable =
            self.is_plain_get && self.head.status == STATUS_OK && !self.head.is_encoded;
        let is_strong = |etag: &&String| etag.starts_with('"') && etag.len() > 2;
        is_resumable.then_some(self.head.etag.as_ref().filter(is_strong).cloned()).flatten()
    }
}

/// Returns whether `response` holds exactly the bytes from `from` to the end of a body of `total`
/// bytes.
#[must_use]
pub fn is_continuation(from: u64, total: u64, response: &ResponseHead) -> bool {
    let Some(range) = response.content_range else {
        return false;
    };
    let is_rest = range.first == from && range.last.checked_add(1) == Some(total);
    let is_length_consistent =
        response.length.is_none_or(|length| from.checked_add(length) == Some(total));
    response.status == STATUS_PARTIAL
        && !response.is_encoded
        && is_rest
        && range.total == total
        && is_length_consistent
}
