//! Tests of `register`.
