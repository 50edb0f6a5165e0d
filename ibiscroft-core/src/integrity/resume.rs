//! Whether a broken answer is resumed at another target.

use std::str::FromStr;

use crate::{copy_data, data};

/// Resumptions of one answer.
const MAX_RESUMPTIONS: u32 = 3;

const STATUS_OK: u16 = 200;
const STATUS_PARTIAL: u16 = 206;

data! {
    /// The parts of an answer's head that decide on a resumption.
    pub struct AnswerHead {
        /// HTTP status.
        pub status: u16,
        /// Value of `ETag`.
        pub etag: Option<String>,
        /// Value of `Content-Length`.
        pub length: Option<u64>,
        /// Whether `Content-Encoding` or another coding makes ranges ambiguous.
        pub is_encoded: bool,
        /// Value of `Content-Range`.
        pub content_range: Option<ContentRange>,
    }

    /// What to do after an answer's body broke.
    pub enum Resume {
        /// Ask another target for the rest.
        Range {
            /// First missing byte, for `Range: bytes=N-`.
            from: u64,
            /// Strong validator, for `If-Range`.
            etag: String,
        },
        /// Abort the connection to the caller, so that it sees a broken answer.
        Abort,
    }
}

copy_data! {
    /// Value of a `Content-Range` header with a known total.
    pub struct ContentRange {
        /// First byte.
        pub first: u64,
        /// Last byte, included.
        pub last: u64,
        /// Bytes of the whole.
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

/// Follows one answer across its resumptions.
///
/// ```
/// use ibiscroft_core::integrity::{AnswerHead, Resume, Resumption};
///
/// let head = AnswerHead {
///     status: 200,
///     etag: Some("\"v1\"".to_string()),
///     length: Some(100),
///     is_encoded: false,
///     content_range: None,
/// };
/// let mut resumption = Resumption::new(true, head);
/// let etag = "\"v1\"".to_string();
/// assert_eq!(resumption.broken_at(40), Resume::Range { from: 40, etag });
/// ```
#[derive(Clone, Debug)]
pub struct Resumption {
    is_plain_get: bool,
    head: AnswerHead,
    resumed: u32,
}

impl Resumption {
    /// Begins with the head of the first answer.
    ///
    /// `is_plain_get` is true for a GET without a range of its own.
    #[must_use]
    pub fn new(is_plain_get: bool, head: AnswerHead) -> Self {
        Self { is_plain_get, head, resumed: 0 }
    }

    /// Decides after the body broke with `received` bytes passed on to the caller.
    pub fn broken_at(&mut self, received: u64) -> Resume {
        let Some(etag) = self.validator() else {
            return Resume::Abort;
        };
        if self.resumed >= MAX_RESUMPTIONS || self.head.length.is_none_or(|len| received >= len) {
            return Resume::Abort;
        }
        self.resumed += 1;
        Resume::Range { from: received, etag }
    }

    /// Returns whether the answer to a resumption continues the body at byte `from`.
    ///
    /// Anything else is discarded unread, and the caller's connection aborted.
    #[must_use]
    pub fn continues(&self, from: u64, answer: &AnswerHead) -> bool {
        self.head.length.is_some_and(|total| is_continuation(from, total, answer))
            && self.validator().is_some()
            && answer.etag == self.head.etag
    }

    /// Returns the strong validator when the answer can be resumed at all.
    fn validator(&self) -> Option<String> {
        let is_resumable =
            self.is_plain_get && self.head.status == STATUS_OK && !self.head.is_encoded;
        let is_strong = |etag: &&String| etag.starts_with('"') && etag.len() > 2;
        is_resumable.then_some(self.head.etag.as_ref().filter(is_strong).cloned()).flatten()
    }
}

/// Returns whether `answer` holds exactly the bytes from `from` to the end of `total`.
#[must_use]
pub fn is_continuation(from: u64, total: u64, answer: &AnswerHead) -> bool {
    let Some(range) = answer.content_range else {
        return false;
    };
    let is_rest = range.first == from && range.last.checked_add(1) == Some(total);
    let has_length = answer.length.is_none_or(|length| from.checked_add(length) == Some(total));
    answer.status == STATUS_PARTIAL
        && !answer.is_encoded
        && is_rest
        && range.total == total
        && has_length
}
