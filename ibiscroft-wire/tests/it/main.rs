//! Tests of the border types.

mod generated;
mod generator;
