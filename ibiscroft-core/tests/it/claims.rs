//! Tests of at-most-once claims.

mod coordinator;
mod key;
mod replay;
mod retirement;
mod state_machine;
mod step;
mod world;
