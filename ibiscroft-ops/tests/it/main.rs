//! Tests of ibiscroft-ops.

mod args;
mod difference;
mod examples;
mod store;
