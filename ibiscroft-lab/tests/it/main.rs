//! Tests of the stand-ins and the tools.

mod added_time;
mod backend;
mod cold_start;
mod load;
mod range;
mod scenarios;
mod store_api;
mod store_state;
