//! Checks that a response belongs to the request, by the request id that it echoes.

use crate::copy_data;

copy_data! {
    /// Result of comparing the request id of a response with the one that was sent.
    pub enum EchoMatch {
        /// The response belongs to the request.
        Same,
        /// The response has no request id, because the backend server does not echo it.
        Missing,
        /// The response belongs to another request.
        Different,
    }
}

/// Compares the request id that was sent with the one that the response echoes.
///
/// A response to another request must not be delivered, and its connection must be closed.
///
/// ```
/// use ibiscroft_core::integrity::{EchoMatch, check_echo};
///
/// assert_eq!(check_echo("r-1", Some("r-2")), EchoMatch::Different);
/// ```
#[must_use]
pub fn check_echo(sent: &str, echoed: Option<&str>) -> EchoMatch {
    match echoed {
        None => EchoMatch::Missing,
        Some(echoed) if echoed == sent => EchoMatch::Same,
        Some(_) => EchoMatch::Different,
    }
}
