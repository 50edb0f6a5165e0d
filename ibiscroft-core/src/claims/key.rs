//! Idempotency keys that contain the time of their creation.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use super::UnixMillis;
use crate::ids::IdempotencyKey;

/// Length of the longest accepted key in bytes.
const MAX_KEY_BYTES: usize = 64;
/// Number of digits of a key that starts with Unix milliseconds.
const MILLIS_DIGITS: usize = 13;
/// Length of a UUID in its text form, in bytes.
const UUID_TEXT_BYTES: usize = 36;
/// Index of the version digit in the text form of a UUID.
const UUID_VERSION_INDEX: usize = 14;

/// An idempotency key and the creation time that it contains.
///
/// A key is either a UUID of version 7 or a text that starts with thirteen digits (milliseconds
/// since the Unix epoch) and a `-`. Double quotes around the key are removed, and the digits of a
/// UUID are converted to lower case.
///
/// ```
/// use ibiscroft_core::claims::TimedKey;
///
/// let key = "01938c2e-8a00-7000-8000-0000000000aa".parse::<TimedKey>().unwrap();
/// assert_eq!(key.time().get(), 0x0193_8c2e_8a00);
/// let key = "1733270400000-order-17".parse::<TimedKey>().unwrap();
/// assert_eq!(key.time().get(), 1_733_270_400_000);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TimedKey {
    key: IdempotencyKey,
    time: UnixMillis,
}

/// Reason why a text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key is empty, longer than 64 bytes or contains characters other than visible ASCII.
    Malformed,
    /// The key contains no time.
    NoTime,
}

impl TimedKey {
    /// Returns the key without quotes, with a UUID in lower case.
    #[must_use]
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }

    /// Returns the creation time that the key contains.
    #[must_use]
    pub fn time(&self) -> UnixMillis {
        self.time
    }

    /// Returns a hash that distributes keys over shards.
    pub(crate) fn hash(&self) -> u64 {
        xxh3_64(self.key.as_str().as_bytes())
    }
}

impl FromStr for TimedKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let unquoted = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
        let text = unquoted.unwrap_or(text);
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_visible {
            return Err(KeyError::Malformed);
        }
        let time = uuid_v7_millis(text).or_else(|| leading_millis(text)).ok_or(KeyError::NoTime)?;
        let key = IdempotencyKey::new(normalized(text));
        Ok(Self { key, time: UnixMillis(time) })
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the key must be 1 to 64 visible ASCII characters",
            Self::NoTime => "the key must be a UUID of version 7 or start with Unix milliseconds",
        })
    }
}

impl std::error::Error for KeyError {}

/// Returns the time, in Unix milliseconds, of a UUID of version 7.
fn uuid_v7_millis(text: &str) -> Option<u64> {
    if !is_uuid(text) || text.as_bytes()[UUID_VERSION_INDEX] != b'7' {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &text[..8], &text[9..13]), 16).ok()
}

/// Returns whether `text` has the form of a UUID.
fn is_uuid(text: &str) -> bool {
    text.len() == UUID_TEXT_BYTES
        && text.bytes().enumerate().all(|(index, byte)| match index {
            8 | 13 | 18 | 23 => byte == b'-',
            _ => byte.is_ascii_hexdigit(),
        })
}

/// Returns the time, in Unix milliseconds, of a key that starts with thirteen digits and a `-`.
fn leading_millis(text: &str) -> Option<u64> {
    let (digits, _) = text.split_once('-')?;
    if digits.len() != MILLIS_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// Returns UUIDs in lower case and other keys unchanged.
fn normalized(text: &str) -> String {
    if is_uuid(text) { text.to_ascii_lowercase() } else { text.to_string() }
}
