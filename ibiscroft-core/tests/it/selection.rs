//! Tests of `selection`.
