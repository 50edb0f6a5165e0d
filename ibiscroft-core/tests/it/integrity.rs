//! Tests of `integrity`.
