//! Tests of the gateway.

mod catalogues;
mod orders;
mod registers;
mod retirement;
mod settings;
mod support;
mod whole_path;
