//! Tests of `permits`.

mod backend;
mod gateway_steps;
mod machine;
mod node;
mod rules;
mod step;
mod store;
mod trace;
mod unit;
mod world;
