//! Tests of `fleet`.

mod budgets;
mod byte_account;
mod configuration_check;
mod connection_reuse;
mod era;
mod feed;
mod herds;
mod holding;
mod leaving;
mod organisations;
mod priority;
mod probing;
mod quota;
mod refusals;
mod resting;
mod routes;
mod shared_health;
mod sources;
mod stopping;
mod view;
mod world;
