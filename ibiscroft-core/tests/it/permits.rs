//! Tests of `permits`.
