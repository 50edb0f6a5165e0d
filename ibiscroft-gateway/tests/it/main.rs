//! Tests of the gateway.

mod catalogues;
mod leaving;
mod operators;
mod orders;
mod registers;
mod settings;
mod support;
mod whole_path;
