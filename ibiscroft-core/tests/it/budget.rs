//! Tests of `budget`.
