//! Tests of the gateway.

mod catalogues;
mod settings;
