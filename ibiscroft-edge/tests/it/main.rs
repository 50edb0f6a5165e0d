//! Tests of the edge daemon's tables.

mod catalogue;
