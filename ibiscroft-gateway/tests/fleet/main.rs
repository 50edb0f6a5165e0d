//! Tests with large fleets, in a test binary of their own so that they do not compete with the
//! other tests for processor time.

mod registers;
#[allow(dead_code, reason = "some helpers are used only by the tests in `it`")]
#[path = "../it/support.rs"]
mod support;
