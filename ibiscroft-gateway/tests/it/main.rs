//! Tests of the gateway.

mod catalogues;
mod settings;
mod support;
mod whole_path;
