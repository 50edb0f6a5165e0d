//! Tests of the gateway.

mod catalogues;
mod cold_start;
mod leaving;
mod operators;
mod orders;
mod overload;
mod retirement;
mod settings;
mod support;
mod whole_path;
