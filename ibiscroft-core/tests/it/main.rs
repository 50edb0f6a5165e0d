//! Integration tests of the coordination state machines.

mod admission;
mod budget;
mod claims;
mod cluster;
mod fleet;
mod freshness;
mod gossip;
mod integrity;
mod leaving;
mod overload;
mod permits;
mod polling;
mod quarantine;
mod register;
mod registers;
mod roster;
mod selection;
mod support;
mod trace;
