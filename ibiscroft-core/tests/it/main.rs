//! Tests of the coordination parts.

mod admission;
mod budget;
mod claims;
mod gossip;
mod integrity;
mod leaving;
mod measuring;
mod overload;
mod permits;
mod quarantine;
mod register;
mod roster;
mod selection;
mod support;
mod trace;
