//! Whether an answer belongs to the request.

use crate::copy_data;

copy_data! {
    /// Outcome of comparing request ids.
    pub enum Echo {
        /// The answer belongs to the request.
        Own,
        /// The answer names no request; the backend server does not echo.
        Missing,
        /// The answer belongs to another request.
        Crossed,
    }
}

/// Compares the request id that was sent with the one in the answer.
///
/// A crossed answer is never delivered, and its connection is closed.
///
/// ```
/// use ibiscroft_core::integrity::{Echo, check_echo};
///
/// assert_eq!(check_echo("r-1", Some("r-2")), Echo::Crossed);
/// ```
#[must_use]
pub fn check_echo(sent: &str, echoed: Option<&str>) -> Echo {
    match echoed {
        None => Echo::Missing,
        Some(echoed) if echoed == sent => Echo::Own,
        Some(_) => Echo::Crossed,
    }
}
