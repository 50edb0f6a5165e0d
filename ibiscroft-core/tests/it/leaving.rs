//! Tests of `leaving`.
