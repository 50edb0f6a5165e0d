//! Tests of `permits`.

mod backend;
mod machine;
mod store;
mod trace;
mod unit;
mod world;
