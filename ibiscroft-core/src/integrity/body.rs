//! The length or the end marker of an answer's body.

use std::fmt;

use crate::copy_data;

copy_data! {
    /// How the end of a body is recognised.
    pub enum Framing {
        /// By its stated length in bytes.
        Length(u64),
        /// By an end marker (the last chunk).
        EndMarker,
        /// Only by the end of the connection, which looks the same when it is cut.
        ConnectionEnd,
    }

    /// Why a body is not whole.
    pub enum BodyFault {
        /// It ended early.
        Truncated {
            /// Bytes received.
            received: u64,
            /// Bytes stated.
            expected: Option<u64>,
        },
        /// It is longer than stated.
        Oversized {
            /// Bytes stated.
            expected: u64,
        },
        /// Nothing shows whether it is whole.
        Unprovable,
    }
}

/// Follows the body of one answer.
#[derive(Clone, Copy, Debug)]
pub struct BodyCheck {
    framing: Framing,
    received: u64,
    saw_end: bool,
}

impl BodyCheck {
    /// Begins with no byte received.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self { framing, received: 0, saw_end: false }
    }

    /// Returns the bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Notes `count` received bytes, before they are passed on.
    ///
    /// # Errors
    ///
    /// Returns [`BodyFault::Oversized`] when the body is longer than stated.
    pub fn receive(&mut self, count: u64) -> Result<(), BodyFault> {
        self.received = self.received.saturating_add(count);
        match self.framing {
            Framing::Length(expected) if self.received > expected => {
                Err(BodyFault::Oversized { expected })
            }
            _ => Ok(()),
        }
    }

    /// Notes the end marker.
    pub fn receive_end(&mut self) {
        self.saw_end = true;
    }

    /// Checks the body after its last byte.
    ///
    /// # Errors
    ///
    /// Returns why the body is not provably whole.
    pub fn finish(&self) -> Result<(), BodyFault> {
        let received = self.received;
        match self.framing {
            Framing::Length(expected) if received < expected => {
                Err(BodyFault::Truncated { received, expected: Some(expected) })
            }
            Framing::Length(expected) if received > expected => {
                Err(BodyFault::Oversized { expected })
            }
            Framing::EndMarker if !self.saw_end => {
                Err(BodyFault::Truncated { received, expected: None })
            }
            Framing::ConnectionEnd => Err(BodyFault::Unprovable),
            Framing::Length(_) | Framing::EndMarker => Ok(()),
        }
    }
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { received, expected: Some(expected) } => {
                write!(f, "body ended after {received} of {expected} bytes")
            }
            Self::Truncated { received, expected: None } => {
                write!(f, "body ended after {received} bytes without its end marker")
            }
            Self::Oversized { expected } => write!(f, "body is longer than {expected} bytes"),
            Self::Unprovable => f.write_str("body has neither length nor end marker"),
        }
    }
}

impl std::error::Error for BodyFault {}
