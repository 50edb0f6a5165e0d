//! Tests of `measuring`.
