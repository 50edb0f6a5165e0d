//! Coordination parts of ibiscroft as sans-IO state machines.
//!
//! Every part takes its state, an event and an instant, and returns actions. There are no
//! sockets, clocks or runtimes here, and randomness is passed in, so the same code runs in a
//! daemon, under a fuzzer and under trace replay.

mod macros;

pub mod admission;
pub mod budget;
pub mod claims;
pub mod config;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod ids;
pub mod integrity;
pub mod leaving;
pub mod measuring;
pub mod permits;
pub mod quarantine;
pub mod register;
pub mod registers;
pub mod rendezvous;
pub mod roster;
pub mod selection;
pub mod time;

pub use time::Tick;
