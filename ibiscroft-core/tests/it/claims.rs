//! Tests of `claims`.

mod coordinator;
mod key;
mod replay;
mod retirement;
mod state_machine;
mod step;
mod world;
