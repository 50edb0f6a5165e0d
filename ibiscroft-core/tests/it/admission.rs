//! Tests of `admission`.
