//! Tests of the stand-ins and the tools.

mod backend;
mod cold_start;
mod range;
mod store_api;
mod store_state;
