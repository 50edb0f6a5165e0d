//! Tests of permits and certificates for targets in cold start.

mod backend;
mod certificates;
mod gateway_steps;
mod node;
mod rules;
mod state_machine;
mod step;
mod store;
mod trace;
mod world;
