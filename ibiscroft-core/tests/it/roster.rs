//! Tests of `roster`.
