//! Tests of `claims`.

mod book;
mod key;
mod replay;
mod state_machine;
mod step;
mod world;
