//! Tests of the stand-ins, the tools and the whole system.

mod added_time;
mod at_most_once;
mod backend;
mod cold_start;
mod experiment;
mod leaving;
mod load;
mod noise;
mod planned_stop;
mod range;
mod scenarios;
mod store_api;
mod store_state;
mod support;
mod whole_responses;
