//! Tests of `fleet`.

mod budgets;
mod feed;
mod probing;
mod refusals;
mod routes;
mod view;
mod world;
