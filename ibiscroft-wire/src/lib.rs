//! Wire types, codecs, header and key names, and error kinds of ibiscroft.
//!
//! The wire types are the documents that ibiscroft exchanges with callers, operators and the
//! platform, and between gateways.

pub mod claim_records;
pub mod codec;
pub mod error_kind;
pub mod generated;
pub mod headers;
pub mod keys;
pub mod questionnaire;
pub mod records;
pub mod schema_check;

pub use error_kind::{ErrorKind, ErrorResponse};
pub use schema_check::{Fault, Faults, Schema};
