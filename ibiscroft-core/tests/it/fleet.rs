//! Tests of `fleet`.

mod budgets;
mod feed;
mod probing;
mod routes;
mod view;
mod world;
