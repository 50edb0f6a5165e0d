//! Tests of ibiscroft-core.
