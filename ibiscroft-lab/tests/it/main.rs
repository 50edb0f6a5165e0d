//! Tests of the stand-ins and the tools.

mod added_time;
mod backend;
mod cold_start;
mod experiment;
mod leaving;
mod load;
mod noise;
mod orders;
mod planned_stop;
mod range;
mod scenarios;
mod store_api;
mod store_state;
mod support;
mod whole_answers;
