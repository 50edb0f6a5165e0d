//! Recognises whole, crossed and truncated answers.
//!
//! ```
//! use ibiscroft_core::integrity::{BodyCheck, BodyFault, Framing};
//!
//! let mut check = BodyCheck::new(Framing::Length(10));
//! check.receive(6).unwrap();
//! assert_eq!(check.finish(), Err(BodyFault::Truncated { received: 6, expected: Some(10) }));
//! ```

mod body;
mod echo;
mod resume;

pub use body::{BodyCheck, BodyFault, Framing};
pub use echo::{Echo, check_echo};
pub use resume::{AnswerHead, ContentRange, Resume, Resumption, is_continuation};
