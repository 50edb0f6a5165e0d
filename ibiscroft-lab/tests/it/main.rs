//! Tests of ibiscroft-lab.
