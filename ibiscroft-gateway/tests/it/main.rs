//! Integration tests of the gateway; most run gateways as processes.

mod at_most_once;
mod catalogues;
mod cold_start;
mod end_to_end;
mod endless;
mod faulty_target;
mod invalid_status;
mod late_heads;
mod leaving;
mod operators;
mod overload;
mod proper_requests;
mod retirement;
mod settings;
mod support;
