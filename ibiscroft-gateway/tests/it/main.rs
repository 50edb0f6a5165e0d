//! Tests of ibiscroft-gateway.
