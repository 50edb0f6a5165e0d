//! Tests of `quarantine`.
