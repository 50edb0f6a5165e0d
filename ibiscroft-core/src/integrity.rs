//! Detects responses that are truncated or belong to another request, and resumes broken ones.
//!
//! ```
//! use ibiscroft_core::integrity::{BodyCheck, BodyError, Framing};
//!
//! let mut check = BodyCheck::new(Framing::Length(10));
//! check.receive(6).unwrap();
//! assert_eq!(check.finish(), Err(BodyError::Truncated { received: 6, expected: Some(10) }));
//! ```

mod body;
mod echo;
mod resume;

pub use body::{BodyCheck, BodyError, Framing};
pub use echo::{EchoMatch, check_echo};
pub use resume::{ContentRange, ResponseHead, ResumableResponse, ResumeAction, is_continuation};
