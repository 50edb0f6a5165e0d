//! Tests with large fleets, apart from the others so that they do not take their processor time.

mod registers;
#[allow(dead_code, reason = "the other tests use the rest")]
#[path = "../it/support.rs"]
mod support;
