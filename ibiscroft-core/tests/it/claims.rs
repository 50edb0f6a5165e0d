//! Tests of `claims`.

mod book;
mod key;
mod replay;
mod retirement;
mod state_machine;
mod step;
mod world;
