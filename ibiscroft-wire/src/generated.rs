//! Wire types, generated from the JSON schemas in `schemas`.
//!
//! `cargo run -p ibiscroft-wire --example generate` writes this code, which is committed.
#![allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub, unused_qualifications)]
#![allow(rust_2018_idioms, clippy::needless_pass_by_value, clippy::uninlined_format_args)]

#[rustfmt::skip]
pub mod claims;
#[rustfmt::skip]
pub mod configuration;
#[rustfmt::skip]
pub mod peer;
#[rustfmt::skip]
pub mod problem;
#[rustfmt::skip]
pub mod questionnaire;
#[rustfmt::skip]
pub mod roster;
#[rustfmt::skip]
pub mod settings;
#[rustfmt::skip]
pub mod store;
