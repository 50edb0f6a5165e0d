//! Controllers: each owns one part of the control state.

pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod polls;
pub(crate) mod registers;
pub(crate) mod roster;
pub(crate) mod targets;
