//! Checks that the body of a response is complete, by its length or its end marker.

use std::fmt;

use crate::copy_data;

copy_data! {
    /// How the end of a body is recognised.
    pub enum Framing {
        /// By the length in bytes that the head states.
        Length(u64),
        /// By an end marker, such as the last chunk.
        EndMarker,
        /// Only by the end of the connection, which looks the same as a broken connection.
        ConnectionEnd,
    }

    /// Why a body is not known to be complete.
    pub enum BodyError {
        /// It ended before its stated length or its end marker.
        Truncated {
            /// Bytes received.
            received: u64,
            /// Stated length in bytes, if any.
            expected: Option<u64>,
        },
        /// It is longer than stated.
        Oversized {
            /// Stated length in bytes.
            expected: u64,
        },
        /// It has neither a length nor an end marker.
        Undelimited,
    }
}

/// Tracks the body of one response.
#[derive(Clone, Copy, Debug)]
pub struct BodyCheck {
    framing: Framing,
    received: u64,
    end_received: bool,
}

impl BodyCheck {
    /// Creates the check of a body of which nothing was received yet.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self { framing, received: 0, end_received: false }
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Counts `count` received bytes. Call it before they are forwarded to the caller.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Oversized`] if the body is longer than stated.
    pub fn receive(&mut self, count: u64) -> Result<(), BodyError> {
        self.received = self.received.saturating_add(count);
        match self.framing {
            Framing::Length(expected) if self.received > expected => {
                Err(BodyError::Oversized { expected })
            }
            _ => Ok(()),
        }
    }

    /// Notes that the end marker was received.
    pub fn receive_end(&mut self) {
        self.end_received = true;
    }

    /// Checks that the body is complete, once no more bytes follow.
    ///
    /// # Errors
    ///
    /// Returns why the body is not known to be complete.
    pub fn finish(&self) -> Result<(), BodyError> {
        let received = self.received;
        match self.framing {
            Framing::Length(expected) if received < expected => {
                Err(BodyError::Truncated { received, expected: Some(expected) })
            }
            Framing::Length(expected) if received > expected => {
                Err(BodyError::Oversized { expected })
            }
            Framing::EndMarker if !self.end_received => {
                Err(BodyError::Truncated { received, expected: None })
            }
            Framing::ConnectionEnd => Err(BodyError::Undelimited),
            Framing::Length(_) | Framing::EndMarker => Ok(()),
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { received, expected: Some(expected) } => {
                write!(f, "body ended after {received} of {expected} bytes")
            }
            Self::Truncated { received, expected: None } => {
                write!(f, "body ended after {received} bytes without its end marker")
            }
            Self::Oversized { expected } => {
                write!(f, "body exceeds its stated length of {expected} bytes")
            }
            Self::Undelimited => f.write_str("body has neither length nor end marker"),
        }
    }
}

impl std::error::Error for BodyError {}
