//! Tests of ibiscroft-ops.
