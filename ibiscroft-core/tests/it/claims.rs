//! Tests of `claims`.
