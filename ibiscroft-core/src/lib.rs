//! Coordination logic of the ibiscroft load balancer as sans-IO state machines.
//!
//! Each module provides a state machine that takes events with their time and returns actions
//! for the embedding program to carry out. The crate opens no sockets, reads no clock and uses
//! no async runtime, and randomness is passed in. The same code therefore runs in a daemon, in
//! property tests and in the replay of traces.

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
pub mod permits;
pub mod polling;
pub mod quarantine;
pub mod register;
pub mod registers;
pub mod rendezvous;
pub mod roster;
pub mod selection;
pub mod time;

pub use time::Tick;
