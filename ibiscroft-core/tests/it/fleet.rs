//! Tests of `fleet`.

mod budgets;
mod byte_account;
mod feed;
mod herds;
mod holding;
mod leaving;
mod probing;
mod refusals;
mod resting;
mod routes;
mod sources;
mod stopping;
mod view;
mod world;
